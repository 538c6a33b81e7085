package org.coltsfootquay.decision.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.configuration.ClassOfWork;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.fairness.WorkspaceUsage;
import org.coltsfootquay.decision.limit.ConcurrencyLimitSettings;
import org.coltsfootquay.decision.limit.ConcurrencyLimit;
import org.coltsfootquay.decision.ownership.OwnedServer;

/**
 * Queue of one service at an owner.
 *
 * <p>A request moves from the queue of its workspace to a flight on a server, and the flight ends when the entry router
 * reports the end, takes the grant back, or stays silent for too long. Each decision takes time logarithmic in the
 * numbers of waiting requests, workspaces and servers; only new totals, a new configuration and a new list of servers
 * take linear time.
 */
public final class ServiceDispatcher implements Dispatcher {

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Heads whose excluded servers are the only free ones are set aside; more than this many end the search. */
    private static final int MAX_SKIPPED_REQUESTS = 8;

    /** Time for which a grant that was taken back is remembered, in case its send started in time after all. */
    private static final long LAPSED_RETENTION_NANOS = 10_000 * NANOS_PER_MILLI;

    /** Time for which requests on a server that went to another owner are remembered. */
    private static final long HANDED_OVER_RETENTION_NANOS = 600_000 * NANOS_PER_MILLI;

    /** Limits change at most once a second, so they are looked at less often than the queue. */
    private static final long LIMIT_UPDATE_INTERVAL_NANOS = 250 * NANOS_PER_MILLI;

    private static final double MEAN_SMOOTHING = 0.05;
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

    private final ServiceName service;
    private final RouterId self;
    private final SchedulingPolicy policy;
    private final PreemptionPlanner preemption;
    private final DispatchSettings settings;
    private final ConcurrencyLimitSettings limitSettings;

    private final ServerPool pool = new ServerPool();
    private final WorkspaceQueues queues;
    private final WaitingRequestIndex waiting = new WaitingRequestIndex();
    private final GrantedAttemptIndex grantedAttempts = new GrantedAttemptIndex();
    private final Set<WorkspaceQueue> undrained = new LinkedHashSet<>();
    private final RedirectTargets redirectTargets = new RedirectTargets();
    private FleetConfiguration configuration = FleetConfiguration.none();
    private double meanServerSeconds;
    private double meanFirstTokenMillis;
    private long nextSequence;
    private long lastLimitUpdateNanos;
    private boolean stopping;

    /**
     * Creates a dispatcher with the figures of the design page.
     *
     * @param service service
     * @param self this router
     * @param policy order policy
     */
    public ServiceDispatcher(ServiceName service, RouterId self, PolicyName policy) {
        this(service, self, policy, DispatchSettings.standard(), ConcurrencyLimitSettings.defaults());
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
            ConcurrencyLimitSettings limitSettings) {
        this.service = ArgumentUtils.requireValue(service, "service");
        this.self = ArgumentUtils.requireValue(self, "self");
        this.settings = ArgumentUtils.requireValue(settings, "settings");
        this.limitSettings = ArgumentUtils.requireValue(limitSettings, "limit settings");
        this.policy = createPolicy(ArgumentUtils.requireValue(policy, "policy"));
        this.queues = new WorkspaceQueues(service, this.policy.requestOrder());
        this.preemption = new PreemptionPlanner(this.policy);
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
        } else if (event instanceof DispatchEvent.EntryRouterLost lost) {
            entryRouterLost(lost.entryRouter(), nowNanos);
        } else if (event instanceof DispatchEvent.ServersChanged changed) {
            serversChanged(changed.servers(), nowNanos, actions);
        } else if (event instanceof DispatchEvent.ConfigurationChanged changed) {
            configurationChanged(changed.configuration(), nowNanos);
        } else if (event instanceof DispatchEvent.LoadReported reported) {
            loadReported(reported.server(), reported.report(), nowNanos);
        } else if (event instanceof DispatchEvent.InFlightReported reported) {
            inFlightReported(reported.server(), reported.requests(), nowNanos);
        } else if (event instanceof DispatchEvent.HandedOver handedOver) {
            handedOver(handedOver.state(), nowNanos);
        } else if (event instanceof DispatchEvent.TotalsChanged changed) {
            totalsChanged(changed.totals(), nowNanos);
        } else if (event instanceof DispatchEvent.IdleOwnerFound idle) {
            redirect(idle.router(), idle.freeSlots(), nowNanos, actions);
        } else if (event instanceof DispatchEvent.ShutdownStarted) {
            stopping = true;
            clearQueue(RefusalCode.STOPPING, nowNanos, actions);
        } else {
            tick(nowNanos, actions);
        }
        grantAll(nowNanos, actions);
        preempt(nowNanos, actions);
        return actions;
    }

    @Override
    public List<WorkspaceUsage> drainUsage() {
        List<WorkspaceUsage> increments = new ArrayList<>(undrained.size());
        for (Iterator<WorkspaceQueue> iterator = undrained.iterator(); iterator.hasNext(); ) {
            WorkspaceQueue queue = iterator.next();
            boolean backlogged = queue.waitedSinceDrain || !queue.isEmpty();
            increments.add(new WorkspaceUsage(queue.workspace, service, queue.undrainedUnits, backlogged));
            queue.undrainedUnits = 0;
            queue.waitedSinceDrain = false;
            if (queue.isEmpty()) {
                iterator.remove();
            }
        }
        return increments;
    }

    @Override
    public ServiceTotals.OwnerLoad load(long nowNanos) {
        WaitingRequest oldest = waiting.oldest();
        long wait = oldest == null ? 0 : (nowNanos - oldest.arrivedNanos) / NANOS_PER_MILLI;
        return new ServiceTotals.OwnerLoad(self, stopping ? 0 : pool.freeSlots(), waiting.size(), wait);
    }

    /**
     * Returns the state of the owned servers.
     *
     * @return states, in the order in which the servers became owned
     */
    public List<ServerState> servers() {
        return pool.all().stream().map(ServerSlots::state).toList();
    }

    /**
     * Returns the workspaces that have requests waiting.
     *
     * @return workspaces, in no particular order
     */
    public Set<WorkspaceId> waitingWorkspaces() {
        Set<WorkspaceId> present = new LinkedHashSet<>();
        undrained.stream().filter(queue -> !queue.isEmpty()).forEach(queue -> present.add(queue.workspace));
        return present;
    }

    /**
     * Returns what the next owner of a server needs to know.
     *
     * @param server server
     * @return state, or empty when the server is not owned
     */
    public Optional<HandoverState> handoverState(ServerName server) {
        return Optional.ofNullable(pool.get(server)).map(slots -> {
            List<InFlightEntry> requests = grantedAttempts.onServer(slots).stream()
                    .filter(GrantedAttempt::holdsSlot)
                    .map(flight -> new InFlightEntry(
                            flight.attempt,
                            flight.entryRouter,
                            flight.queue.workspace,
                            flight.classOfWork,
                            flight.chargedUnits))
                    .toList();
            boolean cold = slots.limit.isRamping();
            double limit = cold ? Math.max(1, slots.limit.limitBeforeRamp()) : slots.limit.limit();
            return new HandoverState(server, limit, cold, requests);
        });
    }

    private static SchedulingPolicy createPolicy(PolicyName name) {
        return switch (name) {
            case FLEET -> new FairQueueingPolicy(true);
            case PER_ROUTER -> new FairQueueingPolicy(false);
            case FIFO -> new FifoPolicy();
        };
    }

    private void submit(QueuedRequest request, long now, List<DispatchAction> actions) {
        if (handleDuplicate(request, now, actions)) {
            return;
        }
        WorkspaceQueue queue = queues.get(request.workspace());
        Duration wait = estimatedWait(queue, now);
        if (stopping) {
            refuseOrRedirect(request, RefusalCode.STOPPING, actions);
        } else if (!pool.canServe(request.excludedServers())) {
            refuse(request, RefusalCode.NOT_OWNER, Duration.ZERO, actions);
        } else if (!request.resumed() && queue.size() >= queueBound(queue, now)) {
            refuse(request, RefusalCode.WORKSPACE_QUEUE_FULL, wait, actions);
        } else if (!request.resumed() && now + wait.toNanos() > request.patienceEndNanos()) {
            long excess = now + wait.toNanos() - request.patienceEndNanos();
            refuse(request, RefusalCode.PATIENCE_EXCEEDED, Duration.ofNanos(excess), actions);
        } else {
            WaitingRequest entry = enqueue(request, queue, now);
            grantAll(now, actions);
            if (waiting.get(request.attempt().request()) == entry) {
                queue.waitedSinceDrain = true;
                actions.add(new DispatchAction.Queued(request.entryRouter(), request.attempt(), wait));
            }
        }
    }

    /** Answers a repeated submission like the first one, and ignores one that belongs to a superseded attempt. */
    private boolean handleDuplicate(QueuedRequest request, long now, List<DispatchAction> actions) {
        RequestAttempt attempt = request.attempt();
        WaitingRequest present = waiting.get(attempt.request());
        if (present != null) {
            int known = present.request.attempt().attempt();
            if (known == attempt.attempt()) {
                actions.add(new DispatchAction.Queued(request.entryRouter(), attempt, estimatedWait(present.queue, now)));
            }
            if (known >= attempt.attempt()) {
                return true;
            }
            dequeue(present, now);
        }
        GrantedAttempt flight = grantedAttempts.get(attempt);
        if (flight == null) {
            return false;
        }
        long left = flight.grantedNanos + settings.startTimeout().toNanos() - now;
        if (flight.stage == GrantedAttempt.Stage.GRANTED && left > 0) {
            actions.add(new DispatchAction.Granted(
                    request.entryRouter(),
                    attempt,
                    flight.slots.server,
                    Duration.ofNanos(left),
                    estimatedWait(flight.queue, now)));
        }
        return flight.stage != GrantedAttempt.Stage.LAPSED;
    }

    private WaitingRequest enqueue(QueuedRequest request, WorkspaceQueue queue, long now) {
        WaitingRequest entry = new WaitingRequest(request, queue, nextSequence++, now);
        waiting.add(entry);
        queue.add(entry);
        undrained.add(queue);
        policy.queueChanged(queue, now);
        return entry;
    }

    private void dequeue(WaitingRequest entry, long now) {
        waiting.remove(entry);
        entry.queue.remove(entry);
        policy.queueChanged(entry.queue, now);
    }

    private void grantAll(long now, List<DispatchAction> actions) {
        List<WaitingRequest> setAside = new ArrayList<>();
        while (pool.freeSlots() > 0 && setAside.size() < MAX_SKIPPED_REQUESTS) {
            WorkspaceQueue queue = policy.nextQueue(now);
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
        ClassOfWork work = configuration.classes().get(request.classOfWork());
        boolean preemptible = server.server.kind() == ServiceKind.MODEL && (work == null || work.idempotent());
        GrantedAttempt flight = new GrantedAttempt(request, entry.queue, server, preemptible, now);
        grantedAttempts.add(flight);
        updateOccupancy(flight, 1);
        enterStage(flight, GrantedAttempt.Stage.GRANTED, now);
        entry.queue.grantRate.add(1, now);
        policy.granted(entry.queue, flight.estimatedUnits, now);
        addCharge(flight, flight.estimatedUnits);
        actions.add(new DispatchAction.Granted(
                request.entryRouter(),
                request.attempt(),
                server.server,
                settings.startTimeout(),
                estimatedWait(entry.queue, now)));
    }

    private void preempt(long now, List<DispatchAction> actions) {
        if (pool.freeSlots() > 0 || stopping) {
            return;
        }
        double perSecond = meanServerSeconds == 0 ? 0 : pool.capacity() / meanServerSeconds;
        for (GrantedAttempt victim : preemption.plan(perSecond, (long) (2 * meanFirstTokenMillis * NANOS_PER_MILLI), now)) {
            enterStage(victim, GrantedAttempt.Stage.PREEMPTED, now);
            actions.add(new DispatchAction.Preempted(victim.entryRouter, victim.attempt));
        }
    }

    private void updateOccupancy(GrantedAttempt flight, int change) {
        if (change > 0) {
            flight.queue.inFlight.add(flight);
        } else {
            flight.queue.inFlight.remove(flight);
            flight.slots.orphans.remove(flight);
            if (flight.stage == GrantedAttempt.Stage.PREEMPTED) {
                flight.slots.preempting--;
            }
        }
        ServerSlots server = flight.slots;
        server.inFlight += change;
        // With a part of the limit the latency says nothing about the whole: the limit would grow until the part is as
        // large as the whole was.
        server.limit.recordInFlight(server.inFlight, server.server.share() >= 1 && server.freeSlots() == 0);
        pool.update(server);
    }

    private void enterStage(GrantedAttempt flight, GrantedAttempt.Stage stage, long now) {
        flight.stage = stage;
        flight.stageNanos = now;
        long duration = switch (stage) {
            case GRANTED -> settings.startTimeout().plus(settings.startTimeoutMargin()).toNanos();
            case LAPSED -> LAPSED_RETENTION_NANOS;
            case HANDED_OVER -> HANDED_OVER_RETENTION_NANOS;
            case ORPHANED, PREEMPTED -> settings.orphanTimeout().toNanos();
            case STARTED -> 0;
        };
        if (duration > 0) {
            grantedAttempts.scheduleStageEnd(flight, now + duration);
        }
    }

    private void withdraw(RequestAttempt attempt, long now) {
        WaitingRequest entry = waiting.get(attempt.request());
        if (entry != null && entry.request.attempt().equals(attempt)) {
            dequeue(entry, now);
            return;
        }
        GrantedAttempt flight = grantedAttempts.get(attempt);
        if (flight != null) {
            release(flight, 0, now);
        }
    }

    private void sendStarted(RequestAttempt attempt, long now) {
        GrantedAttempt flight = grantedAttempts.get(attempt);
        if (flight != null) {
            markStarted(flight, now);
        }
    }

    /** A grant that was taken back holds a slot again when its send turns out to have started. */
    private void markStarted(GrantedAttempt flight, long now) {
        if (flight.stage == GrantedAttempt.Stage.LAPSED) {
            updateOccupancy(flight, 1);
            policy.corrected(flight.queue, flight.estimatedUnits, now);
            addCharge(flight, flight.estimatedUnits);
        }
        if (flight.stage == GrantedAttempt.Stage.GRANTED || flight.stage == GrantedAttempt.Stage.LAPSED) {
            enterStage(flight, GrantedAttempt.Stage.STARTED, now);
        }
    }

    private void progress(DispatchEvent.Progressed progressed, long now) {
        GrantedAttempt flight = grantedAttempts.get(progressed.attempt());
        if (flight == null) {
            return;
        }
        markStarted(flight, now);
        flight.producedUnits += progressed.units();
        long beyondEstimate = flight.producedUnits - flight.prechargedUnits - flight.chargedUnits;
        if (beyondEstimate > 0) {
            adjustCharge(flight, beyondEstimate, now);
        }
        flight.slots.limit.recordTokenInterval(progressed.worstTokenIntervalMillis(), tokenTarget(flight), now);
        pool.update(flight.slots);
    }

    private void end(RequestAttempt attempt, EndReport report, long now) {
        GrantedAttempt flight = grantedAttempts.get(attempt);
        if (flight == null) {
            return;
        }
        markStarted(flight, now);
        ConcurrencyLimit limit = flight.slots.limit;
        switch (report.outcome()) {
            case COMPLETED -> {
                meanServerSeconds = updateMean(meanServerSeconds, report.serverMillis() / 1e3);
                meanFirstTokenMillis = updateMean(meanFirstTokenMillis, report.firstTokenMillis());
                limit.recordCompletion(flight.classOfWork, report.serverMillis(), now);
            }
            case FAILED -> limit.recordFailure(now);
            case BROKEN -> limit.recordBrokenConnection(now);
            case COLD -> limit.startColdRamp(OptionalInt.empty(), now);
            default -> limit.tick(now);
        }
        release(flight, Math.max(0, report.totalUnits() - flight.prechargedUnits), now);
    }

    /** Ends a flight, settles its service and frees its slot. */
    private void release(GrantedAttempt flight, long totalUnits, long now) {
        grantedAttempts.remove(flight);
        adjustCharge(flight, totalUnits - flight.chargedUnits, now);
        if (flight.holdsSlot()) {
            updateOccupancy(flight, -1);
        }
    }

    private void adjustCharge(GrantedAttempt flight, long units, long now) {
        if (units != 0) {
            policy.corrected(flight.queue, units, now);
            addCharge(flight, units);
        }
    }

    private void addCharge(GrantedAttempt flight, long units) {
        flight.chargedUnits += units;
        flight.queue.undrainedUnits += units;
        undrained.add(flight.queue);
    }

    private void entryRouterLost(RouterId entry, long now) {
        waiting.ofEntryRouter(entry).forEach(lost -> dequeue(lost, now));
        for (GrantedAttempt flight : grantedAttempts.ofEntryRouter(entry)) {
            if (flight.holdsSlot()) {
                enterStage(flight, GrantedAttempt.Stage.ORPHANED, now);
                flight.slots.orphans.add(flight);
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
                markHandedOver(slots, now);
            }
        }
        for (OwnedServer server : owned.values()) {
            ServerSlots slots = pool.get(server.name());
            if (slots == null) {
                pool.add(new ServerSlots(server, new ConcurrencyLimit(limitSettings, server.kind(), now)));
            } else {
                if (server.stateUnknown() && server.fencingNumber() != slots.server.fencingNumber()) {
                    slots.limit.startColdRamp(OptionalInt.empty(), now);
                }
                if (server.admitsWork() && !slots.server.admitsWork()) {
                    slots.limit.startRampAfterPause(now);
                }
                slots.updateOwnership(server);
                pool.update(slots);
            }
        }
        if (pool.admittingServers() == 0) {
            clearQueue(RefusalCode.NOT_OWNER, now, actions);
        }
    }

    private void markHandedOver(ServerSlots slots, long now) {
        for (GrantedAttempt flight : grantedAttempts.onServer(slots)) {
            if (flight.holdsSlot()) {
                updateOccupancy(flight, -1);
                enterStage(flight, GrantedAttempt.Stage.HANDED_OVER, now);
            }
        }
    }

    private void configurationChanged(FleetConfiguration changed, long now) {
        if (changed.version() < configuration.version()) {
            return;
        }
        configuration = changed;
        queues.updateReservedRates(configuration).forEach(queue -> policy.queueChanged(queue, now));
        for (ServerSlots slots : pool.all()) {
            pool.update(slots);
        }
    }

    private void loadReported(ServerName name, LoadReport report, long now) {
        ServerSlots slots = pool.get(name);
        if (slots == null) {
            return;
        }
        long measuredNanos = now - report.ageMillis() * NANOS_PER_MILLI;
        slots.limit.recordLoadReport(
                report.running(),
                report.waiting(),
                report.cold(),
                report.acceptableRequests(),
                report.uptimeMillis(),
                measuredNanos,
                now);
        pool.update(slots);
        int notRunning = slots.inFlight - report.running() - report.waiting();
        for (GrantedAttempt orphan : List.copyOf(slots.orphans)) {
            if (notRunning > 0 && orphan.stageNanos < measuredNanos) {
                release(orphan, orphan.producedUnits, now);
                notRunning--;
            }
        }
    }

    private void inFlightReported(ServerName name, List<InFlightEntry> requests, long now) {
        ServerSlots slots = pool.get(name);
        if (slots == null) {
            return;
        }
        for (InFlightEntry entry : requests) {
            GrantedAttempt known = grantedAttempts.get(entry.attempt());
            if (known == null || known.stage == GrantedAttempt.Stage.HANDED_OVER) {
                GrantedAttempt flight = new GrantedAttempt(entry, queues.get(entry.workspace()), slots, now);
                grantedAttempts.add(flight);
                updateOccupancy(flight, 1);
            }
        }
    }

    private void handedOver(HandoverState state, long now) {
        ServerSlots slots = pool.get(state.server());
        if (slots != null) {
            slots.limit.restore(state.limit(), state.cold());
            pool.update(slots);
            inFlightReported(state.server(), state.requests(), now);
        }
    }

    private void totalsChanged(ServiceTotals totals, long now) {
        redirectTargets.replace(totals.loads().getOrDefault(service, List.of()), self);
        ServiceTotals.Totals own = totals.byService().get(service);
        if (own != null) {
            policy.totalsChanged(own, now);
        }
    }

    private void redirect(RouterId owner, int freeSlots, long now, List<DispatchAction> actions) {
        for (int i = 0; i < freeSlots && pool.freeSlots() == 0; i++) {
            WorkspaceQueue queue = policy.nextQueue(now);
            if (queue == null) {
                return;
            }
            WaitingRequest head = queue.head();
            dequeue(head, now);
            policy.redirected(queue, head.request.estimatedUnits(), now);
            actions.add(new DispatchAction.Redirected(head.request.entryRouter(), head.request.attempt(), owner));
        }
    }

    private void clearQueue(RefusalCode code, long now, List<DispatchAction> actions) {
        for (WaitingRequest entry : waiting.all()) {
            dequeue(entry, now);
            refuseOrRedirect(entry.request, code, actions);
        }
    }

    private void refuseOrRedirect(QueuedRequest request, RefusalCode code, List<DispatchAction> actions) {
        Optional<RouterId> other = redirectTargets.take();
        if (other.isPresent()) {
            actions.add(new DispatchAction.Redirected(request.entryRouter(), request.attempt(), other.get()));
        } else {
            refuse(request, code, Duration.ZERO, actions);
        }
    }

    private void refuse(QueuedRequest request, RefusalCode code, Duration after, List<DispatchAction> actions) {
        Duration retryAfter = after.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : after;
        actions.add(new DispatchAction.Refused(request.entryRouter(), request.attempt(), code, retryAfter));
    }

    private void tick(long now, List<DispatchAction> actions) {
        for (WaitingRequest entry = waiting.expired(now); entry != null; entry = waiting.expired(now)) {
            dequeue(entry, now);
            refuse(entry.request, RefusalCode.PATIENCE_EXCEEDED, estimatedWait(entry.queue, now), actions);
        }
        if (now - lastLimitUpdateNanos >= LIMIT_UPDATE_INTERVAL_NANOS) {
            lastLimitUpdateNanos = now;
            for (ServerSlots slots : pool.all()) {
                slots.limit.tick(now);
                pool.update(slots);
            }
        }
        for (GrantedAttempt ended = grantedAttempts.pollEndedStage(now); ended != null; ended = grantedAttempts.pollEndedStage(now)) {
            endStage(ended, now);
        }
    }

    private void endStage(GrantedAttempt flight, long now) {
        switch (flight.stage) {
            case GRANTED -> {
                adjustCharge(flight, -flight.chargedUnits, now);
                updateOccupancy(flight, -1);
                enterStage(flight, GrantedAttempt.Stage.LAPSED, now);
            }
            case LAPSED, HANDED_OVER -> grantedAttempts.remove(flight);
            default -> release(flight, Math.max(0, flight.producedUnits - flight.prechargedUnits), now);
        }
    }

    private int queueBound(WorkspaceQueue queue, long now) {
        double byRate = queue.grantRate.perSecond(now) * settings.queueSeconds();
        return (int) Math.min(settings.maxQueueBound(), Math.max(settings.minQueueBound(), byRate));
    }

    /** Little's law: the owner starts as many requests per second as its slots divided by the mean time in one. */
    private Duration estimatedWait(WorkspaceQueue queue, long now) {
        if (pool.freeSlots() > 0 || meanServerSeconds == 0) {
            return Duration.ZERO;
        }
        double perSecond = Math.max(1, pool.capacity()) / meanServerSeconds;
        return Duration.ofMillis((long) (1_000 * policy.grantsAhead(queue, now) / perSecond));
    }

    private int tokenTarget(GrantedAttempt flight) {
        ClassOfWork work = configuration.classes().get(flight.classOfWork);
        return work == null ? 0 : work.target().betweenTokensMillis();
    }

    private static double updateMean(double former, double sample) {
        return former == 0 ? sample : former + MEAN_SMOOTHING * (sample - former);
    }
}
