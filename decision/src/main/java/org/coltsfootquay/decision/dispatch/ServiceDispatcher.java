package org.coltsfootquay.decision.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.configuration.ClassOfWork;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.Workspace;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.fairness.UsageIncrement;
import org.coltsfootquay.decision.limit.LimitSettings;
import org.coltsfootquay.decision.limit.ServerLimit;
import org.coltsfootquay.decision.ownership.OwnedServer;

/** Queue of one service at an owner. */
public final class ServiceDispatcher implements Dispatcher {

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Heads whose excluded servers are the only free ones are set aside; more than this many end the search. */
    private static final int LARGEST_SET_ASIDE = 8;

    /** Time for which a grant that was taken back is remembered, in case its send started in time after all. */
    private static final long LAPSED_MEMORY_NANOS = 10_000 * NANOS_PER_MILLI;

    private static final Duration SHORTEST_RETRY = Duration.ofSeconds(1);

    private final ServiceName service;
    private final RouterId self;
    private final OrderPolicy policy;
    private final DispatchSettings settings;
    private final LimitSettings limitSettings;

    private final ServerPool pool = new ServerPool();
    private final Map<WorkspaceId, WorkspaceQueue> queues = new HashMap<>();
    private final Map<RequestId, WaitingRequest> waiting = new HashMap<>();
    private final Map<RequestAttempt, Flight> flights = new HashMap<>();
    private final Map<RouterId, Set<WaitingRequest>> waitingByEntry = new HashMap<>();
    private final Map<RouterId, Set<Flight>> flightsByEntry = new HashMap<>();
    private final TreeSet<WaitingRequest> byArrival = new TreeSet<>(WaitingRequest.BY_ARRIVAL);
    private final TreeSet<WaitingRequest> byPatience =
            new TreeSet<>(Comparator.<WaitingRequest>comparingLong(entry -> entry.request.patienceEndNanos())
                    .thenComparingLong(entry -> entry.sequence));

    /** Stages that end by themselves; an entry is skipped when its flight has left the stage. */
    private final PriorityQueue<StageEnd> stageEnds = new PriorityQueue<>(Comparator.comparingLong(StageEnd::dueNanos));

    private final Set<WorkspaceQueue> drained = new LinkedHashSet<>();
    private FleetConfiguration configuration = FleetConfiguration.none();
    private List<ServiceTotals.OwnerLoad> otherOwners = List.of();
    private double meanServerSeconds;
    private long nextSequence;
    private boolean stopping;

    private record StageEnd(Flight flight, Flight.Stage stage, long dueNanos) {}

    /**
     * Creates a dispatcher with the figures of the design page.
     *
     * @param service service
     * @param self this router
     * @param policy order policy
     */
    public ServiceDispatcher(ServiceName service, RouterId self, PolicyName policy) {
        this(service, self, policy, DispatchSettings.standard(), LimitSettings.standard());
    }

    /**
     * Creates a dispatcher.
     *
     * @param service service
     * @param self this router
     * @param policy order policy
     * @param settings figures of the queue
     * @param limitSettings figures of the concurrency limits
     */
    public ServiceDispatcher(
            ServiceName service,
            RouterId self,
            PolicyName policy,
            DispatchSettings settings,
            LimitSettings limitSettings) {
        this.service = ArgumentUtils.requireValue(service, "service");
        this.self = ArgumentUtils.requireValue(self, "self");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
        this.limitSettings = ArgumentUtils.requireValue(limitSettings, "limit settings");
        this.policy = create(ArgumentUtils.requireValue(policy, "policy"));
    }

    @Override
    public List<DispatchAction> handle(DispatchEvent event, long nowNanos) {
        List<DispatchAction> actions = new ArrayList<>();
        if (event instanceof DispatchEvent.Submitted submitted) {
            submit(submitted.request(), nowNanos, actions);
        } else if (event instanceof DispatchEvent.Withdrawn withdrawn) {
            withdraw(withdrawn.attempt(), nowNanos);
        } else if (event instanceof DispatchEvent.SendStarted started) {
            sendStarted(started.attempt(), nowNanos);
        } else if (event instanceof DispatchEvent.Progressed progressed) {
            progress(progressed, nowNanos);
        } else if (event instanceof DispatchEvent.Ended ended) {
            end(ended.attempt(), ended.report(), nowNanos);
        } else if (event instanceof DispatchEvent.EntryLost lost) {
            entryLost(lost.entry(), nowNanos);
        } else if (event instanceof DispatchEvent.ServersChanged changed) {
            serversChanged(changed.servers(), nowNanos, actions);
        } else if (event instanceof DispatchEvent.ConfigurationChanged changed) {
            configurationChanged(changed.configuration(), nowNanos, actions);
        } else if (event instanceof DispatchEvent.LoadReported reported) {
            loadReported(reported.server(), reported.report(), nowNanos);
        } else if (event instanceof DispatchEvent.InFlightReported reported) {
            inFlightReported(reported.server(), reported.requests(), nowNanos);
        } else if (event instanceof DispatchEvent.TotalsChanged changed) {
            totalsChanged(changed.totals(), nowNanos);
        } else if (event instanceof DispatchEvent.IdleOwnerFound idle) {
            redirect(idle.router(), idle.freeSlots(), nowNanos, actions);
        } else if (event instanceof DispatchEvent.StopBegun) {
            stopping = true;
            emptyQueue(RefusalCode.STOPPING, nowNanos, actions);
        } else {
            tick(nowNanos, actions);
        }
        grantAll(nowNanos, actions);
        return actions;
    }

    @Override
    public List<UsageIncrement> drainUsage() {
        List<UsageIncrement> increments = new ArrayList<>(drained.size());
        for (Iterator<WorkspaceQueue> iterator = drained.iterator(); iterator.hasNext(); ) {
            WorkspaceQueue queue = iterator.next();
            increments.add(new UsageIncrement(queue.workspace, service, queue.undrainedUnits, !queue.isEmpty()));
            queue.undrainedUnits = 0;
            if (queue.isEmpty()) {
                iterator.remove();
            }
        }
        return increments;
    }

    @Override
    public ServiceTotals.OwnerLoad load(long nowNanos) {
        long oldest = byArrival.isEmpty() ? 0 : (nowNanos - byArrival.first().arrivedNanos) / NANOS_PER_MILLI;
        return new ServiceTotals.OwnerLoad(self, stopping ? 0 : pool.freeSlots(), byArrival.size(), oldest);
    }

    private static OrderPolicy create(PolicyName name) {
        return switch (name) {
            case FIFO, FLEET, PER_ROUTER -> new FifoOrder();
        };
    }

    private void submit(QueuedRequest request, long now, List<DispatchAction> actions) {
        if (answeredAsDuplicate(request, now, actions)) {
            return;
        }
        WorkspaceQueue queue = queue(request.workspace());
        Duration wait = estimatedWait(queue, now);
        if (stopping) {
            refuseOrRedirect(request, RefusalCode.STOPPING, actions);
        } else if (!pool.canServe(request.excludedServers())) {
            refuse(request, RefusalCode.NOT_OWNER, Duration.ZERO, actions);
        } else if (!request.resumed() && queue.size() >= queueBound(queue, now)) {
            refuse(request, RefusalCode.WORKSPACE_QUEUE_FULL, wait, actions);
        } else if (now + wait.toNanos() > request.patienceEndNanos() && !request.resumed()) {
            long excess = now + wait.toNanos() - request.patienceEndNanos();
            refuse(request, RefusalCode.PATIENCE_EXCEEDED, Duration.ofNanos(excess), actions);
        } else {
            enqueue(request, queue, now);
            if (pool.freeSlots() == 0) {
                actions.add(new DispatchAction.Queued(request.entry(), request.attempt(), wait));
            }
        }
    }

    /** Answers a repeated submission like the first one, and ignores one that belongs to a superseded attempt. */
    private boolean answeredAsDuplicate(QueuedRequest request, long now, List<DispatchAction> actions) {
        RequestAttempt attempt = request.attempt();
        WaitingRequest present = waiting.get(attempt.request());
        if (present != null) {
            int known = present.request.attempt().attempt();
            if (known == attempt.attempt()) {
                actions.add(new DispatchAction.Queued(request.entry(), attempt, estimatedWait(present.queue, now)));
            }
            if (known >= attempt.attempt()) {
                return true;
            }
            dequeue(present, now);
        }
        Flight flight = flights.get(attempt);
        if (flight == null) {
            return false;
        }
        long left = flight.grantedNanos + settings.startWithin().toNanos() - now;
        if (flight.stage == Flight.Stage.GRANTED && left > 0) {
            actions.add(new DispatchAction.Granted(
                    request.entry(),
                    attempt,
                    flight.server.server,
                    Duration.ofNanos(left),
                    estimatedWait(flight.queue, now)));
        }
        return flight.stage != Flight.Stage.LAPSED;
    }

    private void enqueue(QueuedRequest request, WorkspaceQueue queue, long now) {
        WaitingRequest entry = new WaitingRequest(request, queue, nextSequence++, now);
        waiting.put(request.attempt().request(), entry);
        waitingByEntry
                .computeIfAbsent(request.entry(), router -> new LinkedHashSet<>())
                .add(entry);
        byArrival.add(entry);
        byPatience.add(entry);
        queue.add(entry);
        drained.add(queue);
        policy.queueChanged(queue, now);
    }

    private void dequeue(WaitingRequest entry, long now) {
        waiting.remove(entry.request.attempt().request());
        removeFrom(waitingByEntry, entry.request.entry(), entry);
        byArrival.remove(entry);
        byPatience.remove(entry);
        entry.queue.remove(entry);
        policy.queueChanged(entry.queue, now);
    }

    private void grantAll(long now, List<DispatchAction> actions) {
        List<WaitingRequest> setAside = new ArrayList<>();
        while (pool.freeSlots() > 0 && setAside.size() < LARGEST_SET_ASIDE) {
            WorkspaceQueue queue = policy.next(now);
            if (queue == null) {
                break;
            }
            WaitingRequest head = queue.head();
            ServerSlots server = pool.leastLoaded(head.request.excludedServers());
            if (server == null) {
                queue.remove(head);
                policy.queueChanged(queue, now);
                setAside.add(head);
            } else {
                grant(head, server, now, actions);
            }
        }
        for (WaitingRequest entry : setAside) {
            entry.queue.add(entry);
            policy.queueChanged(entry.queue, now);
        }
    }

    private void grant(WaitingRequest entry, ServerSlots server, long now, List<DispatchAction> actions) {
        QueuedRequest request = entry.request;
        dequeue(entry, now);
        Flight flight = new Flight(
                request.attempt(),
                request.entry(),
                request.classOfWork(),
                entry.queue,
                server,
                request.estimatedUnits(),
                Flight.Stage.GRANTED,
                now);
        addFlight(flight);
        enterStage(flight, Flight.Stage.GRANTED, now);
        entry.queue.grantRate.add(1, now);
        policy.granted(entry.queue, request.estimatedUnits(), now);
        actions.add(new DispatchAction.Granted(
                request.entry(),
                request.attempt(),
                server.server,
                settings.startWithin(),
                estimatedWait(entry.queue, now)));
    }

    private void addFlight(Flight flight) {
        flights.put(flight.attempt, flight);
        flightsByEntry
                .computeIfAbsent(flight.entry, router -> new LinkedHashSet<>())
                .add(flight);
        occupy(flight, 1);
    }

    private void occupy(Flight flight, int change) {
        flight.queue.inFlight += change;
        flight.server.inFlight += change;
        flight.server.limit.occupied(flight.server.inFlight, flight.server.freeSlots() == 0);
        pool.update(flight.server);
    }

    private void forget(Flight flight) {
        flights.remove(flight.attempt);
        removeFrom(flightsByEntry, flight.entry, flight);
    }

    private void enterStage(Flight flight, Flight.Stage stage, long now) {
        flight.stage = stage;
        flight.stageNanos = now;
        long duration = 0;
        if (stage == Flight.Stage.GRANTED) {
            duration = settings.startWithin().plus(settings.startMargin()).toNanos();
        } else if (stage == Flight.Stage.LAPSED) {
            duration = LAPSED_MEMORY_NANOS;
        } else if (stage == Flight.Stage.ORPHANED || stage == Flight.Stage.PREEMPTED) {
            duration = settings.orphanTimeout().toNanos();
        }
        if (duration > 0) {
            stageEnds.add(new StageEnd(flight, stage, now + duration));
        }
    }

    private void withdraw(RequestAttempt attempt, long now) {
        WaitingRequest entry = waiting.get(attempt.request());
        if (entry != null && entry.request.attempt().equals(attempt)) {
            dequeue(entry, now);
            return;
        }
        Flight flight = flights.get(attempt);
        if (flight != null) {
            release(flight, 0, now);
        }
    }

    private void sendStarted(RequestAttempt attempt, long now) {
        Flight flight = flights.get(attempt);
        if (flight != null) {
            markRunning(flight, now);
        }
    }

    /** A grant that was taken back holds a slot again when its send turns out to have started. */
    private void markRunning(Flight flight, long now) {
        if (flight.stage == Flight.Stage.LAPSED) {
            policy.granted(flight.queue, flight.estimatedUnits, now);
            occupy(flight, 1);
        }
        if (flight.stage == Flight.Stage.GRANTED || flight.stage == Flight.Stage.LAPSED) {
            enterStage(flight, Flight.Stage.STARTED, now);
        }
    }

    private void progress(DispatchEvent.Progressed progressed, long now) {
        Flight flight = flights.get(progressed.attempt());
        if (flight == null) {
            return;
        }
        markRunning(flight, now);
        charge(flight, progressed.units());
        flight.server.limit.tokenInterval(progressed.worstTokenIntervalMillis(), tokenTarget(flight), now);
        pool.update(flight.server);
    }

    private void end(RequestAttempt attempt, EndReport report, long now) {
        Flight flight = flights.get(attempt);
        if (flight == null) {
            return;
        }
        markRunning(flight, now);
        ServerLimit limit = flight.server.limit;
        switch (report.outcome()) {
            case COMPLETED -> {
                double seconds = report.serverMillis() / 1e3;
                meanServerSeconds = meanServerSeconds == 0 ? seconds : 0.95 * meanServerSeconds + 0.05 * seconds;
                limit.completed(flight.classOfWork, report.serverMillis(), now);
            }
            case FAILED, BROKEN -> limit.failed(now);
            case COLD -> limit.foundCold(OptionalInt.empty(), now);
            default -> limit.tick(now);
        }
        release(flight, report.totalUnits(), now);
    }

    /** Ends a flight, settles its service and frees its slot. */
    private void release(Flight flight, long totalUnits, long now) {
        forget(flight);
        charge(flight, Math.max(0, totalUnits) - flight.chargedUnits);
        if (flight.stage != Flight.Stage.LAPSED) {
            policy.corrected(flight.queue, flight.chargedUnits - flight.estimatedUnits);
            occupy(flight, -1);
        }
        flight.stageNanos = now;
    }

    private void charge(Flight flight, long units) {
        if (units != 0) {
            flight.chargedUnits += units;
            flight.queue.undrainedUnits += units;
            drained.add(flight.queue);
            policy.charged(flight.queue, units);
        }
    }

    private void entryLost(RouterId entry, long now) {
        for (WaitingRequest lost : List.copyOf(waitingByEntry.getOrDefault(entry, Set.of()))) {
            dequeue(lost, now);
        }
        for (Flight flight : List.copyOf(flightsByEntry.getOrDefault(entry, Set.of()))) {
            if (flight.stage != Flight.Stage.LAPSED) {
                enterStage(flight, Flight.Stage.ORPHANED, now);
            }
        }
    }

    private void serversChanged(List<OwnedServer> servers, long now, List<DispatchAction> actions) {
        Map<ServerName, OwnedServer> owned = new LinkedHashMap<>();
        servers.stream()
                .filter(server -> server.service().equals(service))
                .forEach(server -> owned.put(server.name(), server));
        for (ServerSlots slots : List.copyOf(pool.all())) {
            if (!owned.containsKey(slots.server.name())) {
                pool.remove(slots);
            }
        }
        for (OwnedServer server : owned.values()) {
            ServerSlots slots = pool.get(server.name());
            if (slots == null) {
                pool.add(new ServerSlots(server, new ServerLimit(limitSettings, server.kind(), now)));
            } else {
                if (server.fresh() && server.fencingNumber() != slots.server.fencingNumber()) {
                    slots.limit.foundCold(OptionalInt.empty(), now);
                }
                slots.server = server;
                pool.update(slots);
            }
        }
        refuseUnservable(now, actions);
    }

    private void refuseUnservable(long now, List<DispatchAction> actions) {
        if (pool.admitting() == 0) {
            emptyQueue(RefusalCode.NOT_OWNER, now, actions);
        }
    }

    private void configurationChanged(FleetConfiguration changed, long now, List<DispatchAction> actions) {
        if (changed.version() < configuration.version()) {
            return;
        }
        configuration = changed;
        queues.values().forEach(queue -> queue.reservedPerSecond = reserved(queue.workspace));
        refuseUnservable(now, actions);
    }

    private void loadReported(ServerName name, LoadReport report, long now) {
        ServerSlots slots = pool.get(name);
        if (slots != null) {
            slots.limit.loadReported(
                    report.running(), report.waiting(), report.cold(), report.bearable(), report.uptimeMillis(), now);
            pool.update(slots);
        }
    }

    private void inFlightReported(ServerName name, List<InFlightEntry> requests, long now) {
        ServerSlots slots = pool.get(name);
        if (slots == null) {
            return;
        }
        for (InFlightEntry entry : requests) {
            if (!flights.containsKey(entry.attempt())) {
                Flight flight = new Flight(
                        entry.attempt(),
                        entry.entry(),
                        entry.classOfWork(),
                        queue(entry.workspace()),
                        slots,
                        entry.chargedUnits(),
                        Flight.Stage.STARTED,
                        now);
                flight.chargedUnits = entry.chargedUnits();
                addFlight(flight);
            }
        }
    }

    private void totalsChanged(ServiceTotals totals, long now) {
        otherOwners = totals.loads().getOrDefault(service, List.of()).stream()
                .filter(load -> !load.router().equals(self))
                .toList();
        ServiceTotals.Totals own = totals.byService().get(service);
        if (own != null) {
            policy.totalsChanged(own, now);
        }
    }

    private void redirect(RouterId owner, int freeSlots, long now, List<DispatchAction> actions) {
        for (int i = 0; i < freeSlots; i++) {
            WorkspaceQueue queue = policy.next(now);
            if (queue == null) {
                return;
            }
            WaitingRequest head = queue.head();
            dequeue(head, now);
            actions.add(new DispatchAction.Redirected(head.request.entry(), head.request.attempt(), owner));
        }
    }

    private void emptyQueue(RefusalCode code, long now, List<DispatchAction> actions) {
        for (WaitingRequest entry : List.copyOf(byArrival)) {
            dequeue(entry, now);
            refuseOrRedirect(entry.request, code, actions);
        }
    }

    private void refuseOrRedirect(QueuedRequest request, RefusalCode code, List<DispatchAction> actions) {
        for (ServiceTotals.OwnerLoad load : otherOwners) {
            if (load.freeSlots() > 0) {
                actions.add(new DispatchAction.Redirected(request.entry(), request.attempt(), load.router()));
                return;
            }
        }
        refuse(request, code, Duration.ZERO, actions);
    }

    private void refuse(QueuedRequest request, RefusalCode code, Duration after, List<DispatchAction> actions) {
        Duration retryAfter = after.compareTo(SHORTEST_RETRY) < 0 ? SHORTEST_RETRY : after;
        actions.add(new DispatchAction.Refused(request.entry(), request.attempt(), code, retryAfter));
    }

    private void tick(long now, List<DispatchAction> actions) {
        while (!byPatience.isEmpty() && byPatience.first().request.patienceEndNanos() <= now) {
            WaitingRequest entry = byPatience.first();
            dequeue(entry, now);
            refuse(entry.request, RefusalCode.PATIENCE_EXCEEDED, estimatedWait(entry.queue, now), actions);
        }
        for (ServerSlots slots : pool.all()) {
            slots.limit.tick(now);
            pool.update(slots);
        }
        endStages(now);
    }

    private void endStages(long now) {
        while (!stageEnds.isEmpty() && stageEnds.peek().dueNanos() <= now) {
            StageEnd end = stageEnds.poll();
            if (end.flight().stage == end.stage() && flights.containsKey(end.flight().attempt)) {
                endStage(end.flight(), now);
            }
        }
    }

    private void endStage(Flight flight, long now) {
        if (flight.stage == Flight.Stage.GRANTED) {
            policy.corrected(flight.queue, flight.chargedUnits - flight.estimatedUnits);
            occupy(flight, -1);
            enterStage(flight, Flight.Stage.LAPSED, now);
        } else if (flight.stage == Flight.Stage.LAPSED) {
            forget(flight);
        } else {
            release(flight, flight.chargedUnits, now);
        }
    }

    private int queueBound(WorkspaceQueue queue, long now) {
        double byRate = queue.grantRate.perSecond(now) * settings.queueSeconds();
        return (int) Math.min(settings.largestQueue(), Math.max(settings.smallestQueue(), byRate));
    }

    /** Little's law: the owner starts as many requests per second as its slots divided by the mean time in one. */
    private Duration estimatedWait(WorkspaceQueue queue, long now) {
        if (pool.freeSlots() > 0 || meanServerSeconds == 0) {
            return Duration.ZERO;
        }
        double perSecond = Math.max(1, pool.capacity()) / meanServerSeconds;
        return Duration.ofMillis((long) (1_000 * policy.grantsAhead(queue, now) / perSecond));
    }

    private int tokenTarget(Flight flight) {
        ClassOfWork work = configuration.classes().get(flight.classOfWork);
        return work == null
                ? 0
                : (int) work.target()
                        .betweenTokens()
                        .map(Duration::toMillis)
                        .orElse(0L)
                        .longValue();
    }

    private WorkspaceQueue queue(WorkspaceId workspace) {
        return queues.computeIfAbsent(workspace, id -> {
            WorkspaceQueue queue = new WorkspaceQueue(id, policy.withinWorkspace());
            queue.reservedPerSecond = reserved(id);
            return queue;
        });
    }

    private long reserved(WorkspaceId id) {
        Workspace workspace = configuration.workspaces().get(id);
        return workspace == null ? 0 : workspace.reserved(service);
    }

    private static <T> void removeFrom(Map<RouterId, Set<T>> index, RouterId entry, T value) {
        Set<T> values = index.get(entry);
        if (values != null) {
            values.remove(value);
            if (values.isEmpty()) {
                index.remove(entry);
            }
        }
    }
}
