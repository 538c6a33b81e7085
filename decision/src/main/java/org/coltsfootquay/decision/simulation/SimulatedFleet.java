package org.coltsfootquay.decision.simulation;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.configuration.BackendServer;
import org.coltsfootquay.decision.configuration.ConfigurationDigest;
import org.coltsfootquay.decision.configuration.ConfigurationPointer;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.AdministrativeState;
import org.coltsfootquay.decision.configuration.Service;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.configuration.Zone;
import org.coltsfootquay.decision.control.ControlSettings;
import org.coltsfootquay.decision.invariant.InvariantMonitor;
import org.coltsfootquay.decision.membership.MembershipSettings;
import org.coltsfootquay.decision.store.RowCondition;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.VmEntry;
import org.coltsfootquay.decision.store.VmList;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timeline.TimelineSink;
import org.coltsfootquay.decision.timer.DrivenTimerService;

/**
 * Fleet of routers with real controllers over one simulated store, driven by one clock and one seed.
 *
 * <p>The simulation is deterministic: equal seeds and equal calls give equal runs.
 */
public final class SimulatedFleet {

    /** Time by which {@link #step} advances the clock. */
    public static final Duration STEP = Duration.ofMillis(50);

    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);
    private static final Duration VM_LIST_DELAY = Duration.ofSeconds(20);
    private static final RegionName REGION = new RegionName("region");
    private static final int MAX_EVENTS = 400;

    private final DrivenTimerService clock =
            new DrivenTimerService(Duration.ofHours(1).toNanos());
    private final SplittableRandom random;
    private final UnaryOperator<ControlSettings> settingsOverride;
    private final SimulatedFaults faults = new SimulatedFaults();
    private final SimulatedStore store = new SimulatedStore(clock);
    private final Map<RouterId, SimulatedRouter> routers = new LinkedHashMap<>();
    private final Map<String, VmEntry> vms = new LinkedHashMap<>();
    private final ArrayList<String> events = new ArrayList<>();
    private final InvariantMonitor routerMonitor =
            new InvariantMonitor(event -> logEvent(new RouterId("fleet"), event));

    /**
     * Creates a fleet with a configuration in the store and no running router.
     *
     * @param seed seed of all random choices
     * @param routerCount number of routers, spread over two zones of one region
     * @param serverCount number of servers, spread over the zones; half of them do not check fencing numbers
     */
    public SimulatedFleet(long seed, int routerCount, int serverCount) {
        this(seed, routerCount, serverCount, UnaryOperator.identity());
    }

    /**
     * Creates a fleet whose routers use modified settings, for tests that need a faulty mechanism.
     *
     * @param seed seed of all random choices
     * @param routerCount number of routers, spread over two zones of one region
     * @param serverCount number of servers, spread over the zones; half of them do not check fencing numbers
     * @param override function that modifies the standard settings
     */
    public SimulatedFleet(long seed, int routerCount, int serverCount, UnaryOperator<ControlSettings> override) {
        settingsOverride = override;
        random = new SplittableRandom(seed);
        for (int i = 0; i < routerCount; i++) {
            RouterId id = new RouterId("r" + i);
            routers.put(id, new SimulatedRouter(this, id, zoneName(i), REGION, random.split()));
        }
        writeConfiguration(serverCount);
        clock.schedulePeriodic("heartbeat", HEARTBEAT_INTERVAL, this::sendHeartbeats);
    }

    /**
     * Returns the name of a zone.
     *
     * @param number number of the zone, taken modulo the number of zones
     * @return name
     */
    public static ZoneName zoneName(int number) {
        return new ZoneName(number % 2 == 0 ? "zone-a" : "zone-b");
    }

    /** Advances the clock by one step and runs all tasks and timers that are due. */
    public void step() {
        long now = clock.nowNanos() + STEP.toNanos();
        while (clock.nextDueNanos() <= now) {
            clock.advance(clock.nextDueNanos());
        }
        clock.advance(now);
        routers.values().forEach(router -> router.advance(now));
    }

    /**
     * Returns the current time of the common clock.
     *
     * @return time in nanoseconds
     */
    public long nowNanos() {
        return clock.nowNanos();
    }

    /**
     * Returns the faults, which the caller can turn on and off.
     *
     * @return faults
     */
    public SimulatedFaults faults() {
        return faults;
    }

    /**
     * Returns the store.
     *
     * @return store
     */
    public SimulatedStore store() {
        return store;
    }

    /**
     * Returns all routers, running or not.
     *
     * @return routers in the order of creation
     */
    public List<SimulatedRouter> routers() {
        return List.copyOf(routers.values());
    }

    /**
     * Returns the configuration pointer in the store, which names the current version and its object.
     *
     * @return configuration pointer
     */
    public ConfigurationPointer configurationPointer() {
        return store.read(ConfigurationPointer.KEY)
                .map(row -> ConfigurationPointer.of(row.value()))
                .orElse(ConfigurationPointer.none());
    }

    /**
     * Returns the current configuration according to the store.
     *
     * @return configuration, or an empty one if the store has none
     */
    public FleetConfiguration storedConfiguration() {
        ConfigurationPointer pointer = configurationPointer();
        return pointer.current()
                .flatMap(entry -> store.object(entry.object()))
                .map(content -> new SimulatedConfigurationCodec()
                        .decode(pointer.version(), content)
                        .get())
                .orElse(FleetConfiguration.none());
    }

    /**
     * Returns the most recent events of all routers, for the description of a violation.
     *
     * @return one line per event, oldest first
     */
    public List<String> events() {
        return List.copyOf(events);
    }

    /**
     * Returns the monitor of the invariant checks that the routers perform themselves.
     *
     * @return monitor shared by all routers
     */
    public InvariantMonitor routerMonitor() {
        return routerMonitor;
    }

    TimelineSink timelineFor(RouterId router) {
        return event -> logEvent(router, event);
    }

    VmList vmList() {
        return callback -> callback.accept(Either.right(List.copyOf(vms.values())));
    }

    /** Makes the VM list show a state of a router after the propagation delay, in the order of the changes. */
    void scheduleVmListUpdate(SimulatedRouter router, VmEntry.State state) {
        long startedMillis = clock.nowNanos() / 1_000_000;
        String name = router.id().value();
        clock.scheduleOnce(
                "VM list",
                VM_LIST_DELAY,
                () -> vms.put(name, new VmEntry(name, router.zone(), "127.0.0.1:1", state, startedMillis)));
    }

    ControlSettings settings(MembershipSettings membership) {
        return settingsOverride.apply(ControlSettings.standard(membership));
    }

    SimulatedStoreClient storeClient(SimulatedRouter router, Consumer<Runnable> delivery) {
        return new SimulatedStoreClient(store, faults, clock, random.split(), router.id(), delivery);
    }

    void requestSnapshot(SimulatedRouter requester, String object) {
        for (SimulatedRouter peer : routers.values()) {
            if (peer != requester && peer.isActive() && faults.areConnected(requester.id(), peer.id())) {
                peer.snapshot(object)
                        .ifPresent(content -> send(
                                requester,
                                peer,
                                100,
                                () -> requester.control().configuration().snapshotReceived(content)));
            }
        }
    }

    private void logEvent(RouterId router, TimelineEvent event) {
        if (events.size() >= MAX_EVENTS) {
            events.remove(0);
        }
        events.add(Duration.ofNanos(clock.nowNanos()).toMillis() + " " + router + " "
                + event.kind().label() + " " + event.fields());
    }

    /** Sends heartbeats between all routers and store reports with the delay of the aggregation tree. */
    private void sendHeartbeats() {
        for (SimulatedRouter from : routers.values()) {
            if (!from.isActive()) {
                continue;
            }
            long version = from.configuration().version();
            String object = from.control().configuration().objectInForce();
            SimulatedRouter.StoreReport report = from.storeReport(clock.nowNanos());
            for (SimulatedRouter to : routers.values()) {
                if (to != from && to.isRunning()) {
                    send(to, from, 50, () -> to.handlePeerHeartbeat(version, object));
                    if (from.region().equals(to.region())) {
                        send(to, from, 4_000, () -> to.handleStoreReport(from.id(), report));
                    }
                }
            }
        }
    }

    private void send(SimulatedRouter to, SimulatedRouter from, long maxDelayMillis, Runnable message) {
        int processNumber = to.processNumber();
        if (faults.areConnected(from.id(), to.id())) {
            clock.scheduleOnce("message", Duration.ofMillis(1 + random.nextLong(maxDelayMillis)), () -> {
                if (faults.areConnected(from.id(), to.id())) {
                    to.deliver(processNumber, message);
                }
            });
        }
    }

    private void writeConfiguration(int serverCount) {
        Map<ZoneName, Zone> zones = new LinkedHashMap<>();
        for (int i = 0; i < 2; i++) {
            zones.put(zoneName(i), new Zone(zoneName(i), REGION, AdministrativeState.IN_SERVICE));
        }
        ServiceName service = new ServiceName("service");
        Map<ServerName, BackendServer> servers = new LinkedHashMap<>();
        for (int i = 0; i < serverCount; i++) {
            ServerName name = new ServerName("s" + i);
            boolean checksFencing = i / 2 % 2 == 1;
            servers.put(
                    name,
                    new BackendServer(
                            name,
                            service,
                            zoneName(i),
                            "127.0.0.1:" + (1000 + i),
                            checksFencing,
                            AdministrativeState.IN_SERVICE));
        }
        FleetConfiguration configuration = new FleetConfiguration(
                1, zones, Map.of(service, new Service(service, ServiceKind.MODEL)), servers, Map.of(), Map.of());
        byte[] content = new SimulatedConfigurationCodec().encode(configuration);
        String object = ConfigurationDigest.objectName(content);
        store.putObject(object, content);
        store.write(
                List.of(new RowWrite.Put(
                        ConfigurationPointer.KEY,
                        ConfigurationPointer.none().next(object, "initial").toValue(),
                        new RowCondition.Always(),
                        Optional.empty())),
                true);
    }
}
