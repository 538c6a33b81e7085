package org.coltsfootquay.decision.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.configuration.ConfigurationTopic;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.control.ControlPlane;
import org.coltsfootquay.decision.control.ControlPorts;
import org.coltsfootquay.decision.membership.LeaseState;
import org.coltsfootquay.decision.membership.MembershipSettings;
import org.coltsfootquay.decision.membership.PeerConnectivity;
import org.coltsfootquay.decision.membership.RegionStoreReport;
import org.coltsfootquay.decision.membership.AdmissionPermit;
import org.coltsfootquay.decision.ownership.HandoverListener;
import org.coltsfootquay.decision.ownership.OwnedServer;
import org.coltsfootquay.decision.ownership.OwnedServers;
import org.coltsfootquay.decision.shutdown.ShutdownController;
import org.coltsfootquay.decision.shutdown.ShutdownSettings;
import org.coltsfootquay.decision.store.StoreConnectivity;
import org.coltsfootquay.decision.store.VmEntry;
import org.coltsfootquay.decision.timer.DrivenTimerService;

/** Router of the simulated fleet: the real controllers of one process, which can be paused and restarted. */
public final class SimulatedRouter {

    private static final long REPORT_AGE_NANOS = 6_000_000_000L;

    private final SimulatedFleet fleet;
    private final RouterId id;
    private final ZoneName zone;
    private final RegionName region;
    private final RandomGenerator random;
    private final ArrayDeque<Runnable> inbox = new ArrayDeque<>();
    private final Map<RouterId, StoreReport> reports = new HashMap<>();
    private DrivenTimerService timer;
    private Blackboard blackboard;
    private ControlPlane control;
    private ShutdownController shutdown;
    private int processNumber;
    private boolean isRunning;
    private boolean paused;
    private boolean isStopping;

    SimulatedRouter(SimulatedFleet fleet, RouterId id, ZoneName zone, RegionName region, RandomGenerator random) {
        this.fleet = fleet;
        this.id = id;
        this.zone = zone;
        this.region = region;
        this.random = random;
    }

    /** Contact of another router with the store. */
    record StoreReport(long sentNanos, long digest, StoreConnectivity contact) {}

    /** Starts a process without memory of earlier ones. */
    public void start() {
        if (isRunning) {
            return;
        }
        processNumber++;
        isRunning = true;
        paused = false;
        isStopping = false;
        inbox.clear();
        reports.clear();
        long now = fleet.nowNanos();
        timer = new DrivenTimerService(now);
        blackboard = new Blackboard();
        int ownProcess = processNumber;
        SimulatedStoreClient link = fleet.storeClient(this, message -> deliver(ownProcess, message));
        MembershipSettings membership =
                MembershipSettings.standard(id, zone, region, "127.0.0.1:1", "127.0.0.1:2", now / 1_000_000 + 1);
        control = new ControlPlane(
                new ControlPorts(
                        link,
                        link,
                        fleet.vmList(),
                        new SimulatedConfigurationCodec(),
                        (version, object) -> fleet.requestSnapshot(this, object),
                        HandoverListener.NONE,
                        fleet.timelineFor(id)),
                timer,
                blackboard,
                random,
                fleet.settings(membership));
        shutdown = new ShutdownController(
                control, () -> 0, timer, blackboard, fleet.timelineFor(id), ShutdownSettings.standard());
        control.checkInvariants(fleet.routerMonitor());
        control.start();
        fleet.scheduleVmListUpdate(this, VmEntry.State.RUNNING);
    }

    /** Ends the process at once. */
    public void crash() {
        fleet.scheduleVmListUpdate(this, VmEntry.State.GONE);
        isRunning = false;
        processNumber++;
    }

    /** Stops the process from running while the world goes on. */
    public void pause() {
        paused = true;
    }

    /** Lets a paused process run again; what arrived meanwhile is handled before the timers. */
    public void resume() {
        paused = false;
    }

    /** Begins the planned stop. */
    public void shutDown() {
        if (isRunning && !isStopping) {
            isStopping = true;
            int ownProcess = processNumber;
            shutdown.begin(() -> {
                if (ownProcess == processNumber) {
                    crash();
                }
            });
        }
    }

    /**
     * Tells whether the process exists.
     *
     * @return true between start and crash or the end of a planned stop
     */
    public boolean isRunning() {
        return isRunning;
    }

    /**
     * Tells whether the process makes progress.
     *
     * @return true if it exists and is not paused
     */
    public boolean isActive() {
        return isRunning && !paused;
    }

    /**
     * Tells whether a planned stop has begun.
     *
     * @return true while the process is stopping
     */
    public boolean isStopping() {
        return isRunning && isStopping;
    }

    /**
     * Returns the identifier.
     *
     * @return identifier
     */
    public RouterId id() {
        return id;
    }

    /**
     * Returns the zone.
     *
     * @return zone
     */
    public ZoneName zone() {
        return zone;
    }

    /**
     * Returns the region.
     *
     * @return region
     */
    public RegionName region() {
        return region;
    }

    /**
     * Returns the number of the process, which differs for each start.
     *
     * @return number
     */
    public int processNumber() {
        return processNumber;
    }

    /**
     * Returns the controllers of the running process.
     *
     * @return controllers
     */
    public ControlPlane control() {
        return control;
    }

    /**
     * Returns the blackboard of the running process.
     *
     * @return blackboard
     */
    public Blackboard blackboard() {
        return blackboard;
    }

    /**
     * Returns the configuration in force.
     *
     * @return configuration
     */
    public FleetConfiguration configuration() {
        return blackboard.read(ConfigurationTopic.IN_FORCE);
    }

    /**
     * Tells whether the lease is valid by the router's own knowledge.
     *
     * @return true if it is valid now
     */
    public boolean isLeaseValid() {
        return isActive() && blackboard.read(LeaseState.TOPIC).valid(fleet.nowNanos());
    }

    /**
     * Tells whether the lease is valid and the router has read all changes since it was taken or regained.
     *
     * @return true if the router's ownerships are certain
     */
    public boolean isLeaseConfirmed() {
        return isLeaseValid()
                && control.watcher()
                        .completeAsOf(blackboard.read(LeaseState.TOPIC).confirmedNanos());
    }

    /**
     * Returns the servers that the router would grant work on now.
     *
     * @return servers by name
     */
    public Map<ServerName, OwnedServer> admittingServers() {
        Map<ServerName, OwnedServer> result = new HashMap<>();
        if (isActive() && blackboard.read(AdmissionPermit.TOPIC).allows(fleet.nowNanos())) {
            for (OwnedServer server : blackboard.read(OwnedServers.TOPIC).servers()) {
                if (server.admitsWork()) {
                    result.put(server.name(), server);
                }
            }
        }
        return result;
    }

    void advance(long nowNanos) {
        if (!isActive()) {
            return;
        }
        List<Runnable> messages = new ArrayList<>(inbox);
        inbox.clear();
        messages.forEach(Runnable::run);
        timer.advance(nowNanos);
    }

    /** Runs a message when the process may run, and drops it when the process is another one. */
    void deliver(int ofProcess, Runnable message) {
        if (ofProcess != processNumber || !isRunning) {
            return;
        }
        if (paused || !inbox.isEmpty()) {
            inbox.add(message);
        } else {
            timer.advance(fleet.nowNanos());
            message.run();
        }
    }

    void handlePeerHeartbeat(long version, String object) {
        blackboard.write(PeerConnectivity.TOPIC, new PeerConnectivity(timer.nowNanos()));
        control.configuration().versionAnnounced(version, object);
    }

    /** Takes what the aggregation tree reports about another router's contact with the store. */
    void handleStoreReport(RouterId from, StoreReport report) {
        reports.merge(from, report, (old, fresh) -> fresh.sentNanos() >= old.sentNanos() ? fresh : old);
        long now = timer.nowNanos();
        reports.values().removeIf(entry -> now - entry.sentNanos() > REPORT_AGE_NANOS);
        List<StoreReport> all = new ArrayList<>(reports.values());
        all.add(storeReport(now));
        List<StoreReport> without =
                all.stream().filter(entry -> !entry.contact().reachable()).toList();
        blackboard.write(
                RegionStoreReport.TOPIC,
                new RegionStoreReport(
                        all.size(),
                        without.size(),
                        without.stream().mapToLong(StoreReport::digest).sum(),
                        reports.values().stream()
                                .mapToLong(entry -> entry.contact().lastSettledNanos())
                                .max()
                                .orElse(Long.MIN_VALUE),
                        all.stream().mapToLong(StoreReport::sentNanos).min().orElse(now)));
    }

    /** Returns this router's own part of the report. */
    StoreReport storeReport(long nowNanos) {
        long incarnation = blackboard.read(LeaseState.TOPIC).incarnation();
        return new StoreReport(
                nowNanos, RegionStoreReport.digest(id, incarnation), blackboard.read(StoreConnectivity.TOPIC));
    }

    Optional<byte[]> snapshot(String object) {
        return control.configuration().snapshotFor(object);
    }
}
