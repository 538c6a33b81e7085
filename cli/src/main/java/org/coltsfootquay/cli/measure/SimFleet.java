package org.coltsfootquay.cli.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.configuration.ClassOfWork;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.Workspace;
import org.coltsfootquay.decision.dispatch.DispatchEvent;
import org.coltsfootquay.decision.dispatch.DispatchSettings;
import org.coltsfootquay.decision.dispatch.EndReport;
import org.coltsfootquay.decision.dispatch.HandoverState;
import org.coltsfootquay.decision.dispatch.LoadReport;
import org.coltsfootquay.decision.dispatch.PolicyName;
import org.coltsfootquay.decision.dispatch.ServerState;
import org.coltsfootquay.decision.dispatch.ServiceDispatcher;
import org.coltsfootquay.decision.limit.ConcurrencyLimitSettings;
import org.coltsfootquay.decision.membership.Member;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.ownership.OwnerMap;
import org.coltsfootquay.decision.timer.DrivenTimerService;

/** Routers and engines of a measurement on one fake clock. */
final class SimFleet {

    static final ServiceName SERVICE = new ServiceName("lm");
    static final Duration STEP = Duration.ofMillis(20);

    private static final int ZONES = 4;

    /** One way between two VMs of different zones. */
    private static final Duration NETWORK = Duration.ofNanos(1_500_000);

    /** Age of a load report when it reaches the owner. */
    private static final Duration LOAD_LAG = Duration.ofMillis(500);

    /** Limits that never change by themselves: the reference queue knows what each engine can handle. */
    private static final ConcurrencyLimitSettings FIXED_LIMITS =
            new ConcurrencyLimitSettings(0, 1, 0, 57, 1e9, 1e9, 0, 1_024);

    final DrivenTimerService timers = new DrivenTimerService(Duration.ofHours(1).toNanos());
    final List<SimRouter> routers = new ArrayList<>();
    final List<FakeEngine> engines = new ArrayList<>();
    final List<SimWorkspace> workspaces;
    final SimStatistics statistics;
    private final boolean central;
    private final Map<RouterId, SimRouter> byId = new HashMap<>();
    private final Map<ServerName, FakeEngine> engineByName = new HashMap<>();
    private final Map<RequestAttempt, SimRequest> requests = new HashMap<>();
    private OwnerMap ownerMap = OwnerMap.TOPIC.initialValue();
    private MembershipView membership;
    private SimWorkload workload;
    private boolean totalsStopped;
    private int leavingZone = -1;

    SimFleet(MeasureSize size, PolicyName policy, long seed, boolean central, List<SimWorkspace> workspaces) {
        this.central = central;
        this.workspaces = workspaces;
        this.statistics = new SimStatistics(this);
        int routerCount = central ? 1 : size.routers();
        Map<RouterId, Member> members = new LinkedHashMap<>();
        for (int i = 0; i < routerCount; i++) {
            RouterId id = new RouterId(String.format("router-%03d", i));
            members.put(id, new Member(id, 1, zoneName(i % ZONES), new RegionName("region"), "a:1", "a:2", false, i));
            ServiceDispatcher dispatcher = central
                    ? new ServiceDispatcher(SERVICE, id, policy, DispatchSettings.standard(), FIXED_LIMITS)
                    : new ServiceDispatcher(SERVICE, id, policy);
            SimRouter router = new SimRouter(this, id, i % ZONES, dispatcher, seed * 1_000 + i);
            routers.add(router);
            byId.put(id, router);
        }
        membership = new MembershipView(members, 1);
        for (int i = 0; i < size.engines(); i++) {
            SimRouter owner = routers.get(i % routerCount);
            FakeEngine engine = new FakeEngine(
                    new ServerName(String.format("engine-%03d", i)),
                    owner,
                    (i % size.routers()) % ZONES,
                    size.slots(),
                    now());
            engines.add(engine);
            owner.engines.add(engine);
            engineByName.put(engine.name, engine);
        }
    }

    void begin(SimWorkload load) {
        workload = load;
        renewOwnerMap();
        List<RouterId> rank = routers.stream().map(router -> router.id).toList();
        routers.forEach(router -> router.node.setMembers(rank, now()));
        routers.forEach(SimRouter::begin);
        for (FakeEngine engine : engines) {
            engine.owner.handle(
                    new DispatchEvent.HandedOver(new HandoverState(engine.name, engine.slots, false, List.of())));
        }
        load.begin();
        timers.schedulePeriodic("step", STEP, this::step);
    }

    void run(Duration duration) {
        long end = now() + duration.toNanos();
        // A longer step would count as a pause, after which missed periods are not made up for.
        while (timers.nextDueNanos() <= end) {
            timers.advance(timers.nextDueNanos());
        }
        timers.advance(end);
    }

    long now() {
        return timers.nowNanos();
    }

    boolean central() {
        return central;
    }

    void deliver(Runnable arrival) {
        if (central) {
            timers.scheduleOnce("message", Duration.ZERO, arrival);
        } else {
            timers.scheduleOnce("message", NETWORK, arrival);
        }
    }

    void deliverAfter(Duration delay, Runnable arrival) {
        timers.scheduleOnce("delayed", delay, arrival);
    }

    SimRouter router(RouterId id) {
        return byId.get(id);
    }

    FakeEngine engine(ServerName name) {
        return engineByName.get(name);
    }

    ZoneName zoneName(int zone) {
        return new ZoneName("zone-" + zone);
    }

    OwnerMap ownerMap() {
        return ownerMap;
    }

    List<RouterId> owners() {
        return ownerMap.ownersByService().getOrDefault(SERVICE, List.of());
    }

    MembershipView membership() {
        return membership;
    }

    boolean totalsStopped() {
        return totalsStopped;
    }

    boolean zoneLeaving(int zone) {
        return zone == leavingZone;
    }

    FleetConfiguration configuration() {
        Map<ClassOfWorkName, ClassOfWork> classes = new LinkedHashMap<>();
        for (SimClass work : SimClass.values()) {
            classes.put(work.className(), work.definition(SERVICE));
        }
        Map<WorkspaceId, Workspace> byWorkspace = new LinkedHashMap<>();
        for (SimWorkspace workspace : workspaces) {
            Map<ServiceName, Long> reserved =
                    workspace.reservedPerSecond > 0 ? Map.of(SERVICE, workspace.reservedPerSecond) : Map.of();
            byWorkspace.put(workspace.id, new Workspace(workspace.id, List.of(), reserved));
        }
        return new FleetConfiguration(1, Map.of(), Map.of(), Map.of(), classes, byWorkspace);
    }

    SimRequest request(RequestAttempt attempt) {
        return requests.get(attempt);
    }

    void remember(SimRequest request) {
        requests.put(request.attempt, request);
    }

    void forget(SimRequest request) {
        requests.remove(request.attempt);
    }

    /** A caller sends a request to its entry router. */
    void arrive(SimRequest request) {
        remember(request);
        request.entry.submit(request, java.util.Set.of());
    }

    void refused(SimRequest request, Duration retryAfter) {
        statistics.refused(request);
        forget(request);
        workload.refused(request, retryAfter);
    }

    void preempted() {
        statistics.preempted();
    }

    void granted(SimRouter owner, ServerName server) {
        if (central) {
            return;
        }
        for (ServerState state : owner.dispatcher.servers()) {
            if (state.server().equals(server)) {
                statistics.invariants().checkGrant(SERVICE, state);
            }
        }
    }

    void reportLoad(SimRouter owner, FakeEngine engine) {
        if (central) {
            owner.handle(new DispatchEvent.HandedOver(
                    new HandoverState(engine.name, engine.bearable(now()), false, List.of())));
            return;
        }
        LoadReport measured = engine.load(now());
        LoadReport late = new LoadReport(
                measured.running(),
                measured.waiting(),
                measured.cold(),
                measured.acceptableRequests().isPresent() ? measured.acceptableRequests() : OptionalInt.empty(),
                measured.uptimeMillis(),
                LOAD_LAG.toMillis());
        deliverAfter(LOAD_LAG, () -> owner.handle(new DispatchEvent.LoadReported(engine.name, late)));
    }

    /** An engine restarts cold; its streams break. */
    void restart(FakeEngine engine) {
        for (SimRequest broken : engine.restart(now())) {
            statistics.cut();
            broken.entry.interrupt(broken, EndReport.Outcome.BROKEN);
        }
    }

    void zoneLeaves(int zone) {
        leavingZone = zone;
        renewOwnerMap();
        admit(zone, false);
    }

    void zoneReturns(int zone) {
        leavingZone = -1;
        admit(zone, true);
        renewOwnerMap();
    }

    void storeDown() {
        totalsStopped = true;
        routers.forEach(router -> router.share(0.5));
    }

    void storeUp() {
        totalsStopped = false;
        routers.forEach(router -> router.share(1));
    }

    private void admit(int zone, boolean allowed) {
        for (SimRouter router : routers) {
            if (central) {
                router.owns();
            } else if (router.zone == zone) {
                router.admitting(allowed);
            }
        }
    }

    private void renewOwnerMap() {
        Map<ServerName, OwnerMap.Owner> owners = new LinkedHashMap<>();
        engines.forEach(engine -> owners.put(engine.name, new OwnerMap.Owner(engine.owner.id, 1, 1)));
        List<RouterId> admitting = routers.stream()
                .filter(router -> !router.engines.isEmpty() && router.zone != leavingZone)
                .map(router -> router.id)
                .toList();
        ownerMap = new OwnerMap(owners, Map.of(SERVICE, admitting));
    }

    private void step() {
        for (FakeEngine engine : engines) {
            for (SimRequest ended : engine.step(now(), (double) STEP.toMillis())) {
                ended.entry.completed(ended);
                forget(ended);
                statistics.completed(ended);
                workload.completed(ended);
            }
        }
        routers.forEach(SimRouter::tick);
        statistics.observe();
    }
}
