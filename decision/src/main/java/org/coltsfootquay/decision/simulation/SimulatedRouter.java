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
import org.coltsfootquay.decision.membership.AdmissionPermit;
import org.coltsfootquay.decision.membership.LeaseState;
import org.coltsfootquay.decision.membership.MembershipSettings;
import org.coltsfootquay.decision.membership.PeerConnectivity;
import org.coltsfootquay.decision.membership.RegionStoreReport;
import org.coltsfootquay.decision.ownership.HandoverListener;
import org.coltsfootquay.decision.ownership.OwnedServer;
import org.coltsfootquay.decision.ownership.OwnedServers;
import org.coltsfootquay.decision.shutdown.ShutdownController;
import org.coltsfootquay.decision.shutdown.ShutdownSettings;
import org.coltsfootquay.decision.store.StoreConnectivity;
import org.coltsfootquay.decision.store.VmEntry;
import org.coltsfootquay.decision.timer.DrivenTimerService;

/** Router of a simulated fleet: the real controllers of one process that can be paused, stopped and restarted. */
public final class SimulatedRouter {

    private static final long MAX_REPORT_AGE_NANOS = 6_000_000_000L;

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
    private boolean running;
    private boolean paused;
    private boolean stopping;

    SimulatedRouter(SimulatedFleet fleet, RouterId id, ZoneName zone, RegionName region, RandomGenerator random) {
        this.fleet = fleet;
        this.id = id;
        this.zone = zone;
        this.region = region;
        this.random = random;
    }

    /** Report of a router on its connectivity to the store. */
    record StoreReport(long sentNanos, long digest, StoreConnectivity connectivity) {}

    /** Starts a process with no state from earlier processes; has no effect if one is running. */
    public void start() {
        if (running) {
            return;
        }
        processNumber++;
        running = true;
        paused = false;
        stopping = false;
        inbox.clear();
        reports.clear();
        long now = fleet.nowNanos();
        timer = new DrivenTimerService(now);
        blackboard = new Blackboard();
        int startedProcess = processNumber;
        SimulatedStoreClient storeClient = fleet.storeClient(this, message -> deliver(startedProcess, message));
        MembershipSettings membership =
                MembershipSettings.standard(id, zone, region, "127.0.0.1:1", "127.0.0.1:2", now / 1_000_000 + 1);
        control = new ControlPlane(
                new ControlPorts(
                        storeClient,
                        storeClient,
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

    /** Terminates the process immediately. */
    public void crash() {
        fleet.scheduleVmListUpdate(this, VmEntry.State.GONE);
        running = false;
        processNumber++;
    }

    /** Pauses the process while the rest of the fleet keeps running. */
    public void pause() {
        paused = true;
    }

    /** Resumes a paused process; messages received during the pause are handled before timers. */
    public void resume() {
        paused = false;
    }

    /** Starts a graceful shutdown of the process. */
    public void shutDown() {
        if (running && !stopping) {
            stopping = true;
            int startedProcess = processNumber;
            shutdown.begin(() -> {
                if (startedProcess == processNumber) {
                    crash();
                }
            });
        }
    }

    /**
     * Returns whether the process exists.
     *
     * @return true between the start and the crash or the end of the graceful shutdown
     */
    public boolean isRunning() {
        return running;
    }

    /**
     * Returns whether the process exists and is not paused.
     *
     * @return true if the process makes progress
     */
    public boolean isActive() {
        return running && !paused;
    }

    /**
     * Returns whether a graceful shutdown is in progress.
     *
     * @return true from the start of the shutdown until the process ends
     */
    public boolean isStopping() {
        return running && stopping;
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
     * Returns the number of the process, which is different for each start.
     *
     * @return process number
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
     * Returns whether the process is active and its lease is valid according to its own state.
     *
     * @return true if the lease is valid now
     */
    public boolean isLeaseValid() {
        return isActive() && blackboard.read(LeaseState.TOPIC).valid(fleet.nowNanos());
    }

    /**
     * Returns whether the lease is valid and the router has read all changes since it acquired or reacquired the lease.
     *
     * @return true if the router's ownership of its servers is confirmed
     */
    public boolean isLeaseConfirmed() {
        return isLeaseValid()
                && control.watcher()
                        .completeAsOf(blackboard.read(LeaseState.TOPIC).confirmedNanos());
    }

    /**
     * Returns the servers on which the router would grant work now.
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

    /** Runs or queues a message for a process; drops the message if that process no longer runs. */
    void deliver(int recipientProcess, Runnable message) {
        if (recipientProcess != processNumber || !running) {
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

    /** Handles a report of the aggregation tree on the connectivity of another router to the store. */
    void handleStoreReport(RouterId from, StoreReport report) {
        reports.merge(
                from, report, (previous, latest) -> latest.sentNanos() >= previous.sentNanos() ? latest : previous);
        long now = timer.nowNanos();
        reports.values().removeIf(entry -> now - entry.sentNanos() > MAX_REPORT_AGE_NANOS);
        List<StoreReport> all = new ArrayList<>(reports.values());
        all.add(storeReport(now));
        List<StoreReport> unreachable =
                all.stream().filter(entry -> !entry.connectivity().reachable()).toList();
        blackboard.write(
                RegionStoreReport.TOPIC,
                new RegionStoreReport(
                        all.size(),
                        unreachable.size(),
                        unreachable.stream().mapToLong(StoreReport::digest).sum(),
                        reports.values().stream()
                                .mapToLong(entry -> entry.connectivity().lastSettledNanos())
                                .max()
                                .orElse(Long.MIN_VALUE),
                        all.stream().mapToLong(StoreReport::sentNanos).min().orElse(now)));
    }

    /** Returns the report of this router. */
    StoreReport storeReport(long nowNanos) {
        long incarnation = blackboard.read(LeaseState.TOPIC).incarnation();
        return new StoreReport(
                nowNanos, RegionStoreReport.digest(id, incarnation), blackboard.read(StoreConnectivity.TOPIC));
    }

    Optional<byte[]> snapshot(String object) {
        return control.configuration().snapshotFor(object);
    }
}
