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
import org.coltsfootquay.decision.limit.ConcurrencyLimit;
import org.coltsfootquay.decision.limit.ConcurrencyLimitSettings;
import org.coltsfootquay.decision.ownership.OwnedServer;

/**
 * Schedules the requests of one service at an owner.
 *
 * <p>A request moves from the queue of its workspace to a slot of a server. It leaves the slot when the entry router
 * reports its end, withdraws the attempt, or does not report within the timeout of the stage. Each decision takes time
 * logarithmic in the numbers of waiting requests, workspaces and servers; only new totals, a new configuration and a
 * new list of servers take linear time.
 */
public final class ServiceDispatcher implements Dispatcher {

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Maximum number of requests skipped in one pass because they exclude every server with a free slot. */
    private static final int MAX_SKIPPED_REQUESTS = 8;

    /** Time for which a revoked grant is remembered, in case its send turns out to have started in time. */
    private static final long LAPSED_RETENTION_NANOS = 10_000 * NANOS_PER_MILLI;

    /** Time for which requests on a server that was transferred to another owner are remembered. */
    private static final long HANDED_OVER_RETENTION_NANOS = 600_000 * NANOS_PER_MILLI;

    /** Interval between limit updates; limits change at most once per second, so the queue is ticked more often. */
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
     * Creates a dispatcher with default settings.
     *
     * @param service service
     * @param self this router
     * @param policy scheduling policy
     */
    public ServiceDispatcher(ServiceName service, RouterId self, PolicyName policy) {
        this(service, self, policy, DispatchSettings.standard(), ConcurrencyLimitSettings.standard());
    }

    /**
     * Creates a dispatcher.
     *
     * @param service service
     * @param self this router
     * @param policy scheduling policy
     * @param settings settings of the dispatcher
     * @param limitSettings settings of the concurrency limits
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
     * Returns the workspaces that have waiting requests.
     *
     * @return workspaces, in no particular order
     */
    public Set<WorkspaceId> waitingWorkspaces() {
        Set<WorkspaceId> present = new LinkedHashSet<>();
        undrained.stream().filter(queue -> !queue.isEmpty()).forEach(queue -> present.add(queue.workspace));
        return present;
    }

    /**
     * Returns the state of a server that its next owner needs.
     *
     * @param server server
     * @return state, or empty when the server is not owned
     */
    public Optional<HandoverState> handoverState(ServerName server) {
        return Optional.ofNullable(pool.get(server)).map(slots -> {
            List<InFlightEntry> requests = grantedAttempts.onServer(slots).stream()
                    .filter(GrantedAttempt::holdsSlot)
                    .map(granted -> new InFlightEntry(
                            granted.attempt,
                            granted.entryRouter,
                            granted.queue.workspace,
                            granted.classOfWork,
                            granted.chargedUnits))
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
            WaitingRequest waitingRequest = enqueue(request, queue, now);
            grantAll(now, actions);
            if (waiting.get(request.attempt().request()) == waitingRequest) {
                queue.waitedSinceDrain = true;
                actions.add(new DispatchAction.Queued(request.entryRouter(), request.attempt(), wait));
            }
        }
    }

    /**
     * Repeats the reply to a duplicate submission, ignores the submission of a superseded attempt, and removes a
     * waiting attempt that the submission supersedes.
     *
     * @return whether the submission needs no further handling
     */
    private boolean handleDuplicate(QueuedRequest request, long now, List<DispatchAction> actions) {
        RequestAttempt attempt = request.attempt();
        WaitingRequest present = waiting.get(attempt.request());
        if (present != null) {
            int presentAttempt = present.request.attempt().attempt();
            if (presentAttempt == attempt.attempt()) {
                actions.add(
                        new DispatchAction.Queued(request.entryRouter(), attempt, estimatedWait(present.queue, now)));
            }
            if (presentAttempt >= attempt.attempt()) {
                return true;
            }
            dequeue(present, now);
        }
        GrantedAttempt granted = grantedAttempts.get(attempt);
        if (granted == null) {
            return false;
        }
        long remainingNanos = granted.grantedNanos + settings.startTimeout().toNanos() - now;
        if (granted.stage == GrantedAttempt.Stage.GRANTED && remainingNanos > 0) {
            actions.add(new DispatchAction.Granted(
                    request.entryRouter(),
                    attempt,
                    granted.slots.server,
                    Duration.ofNanos(remainingNanos),
                    estimatedWait(granted.queue, now)));
        }
        return granted.stage != GrantedAttempt.Stage.LAPSED;
    }

    private WaitingRequest enqueue(QueuedRequest request, WorkspaceQueue queue, long now) {
        WaitingRequest waitingRequest = new WaitingRequest(request, queue, nextSequence++, now);
        waiting.add(waitingRequest);
        queue.add(waitingRequest);
        undrained.add(queue);
        policy.queueChanged(queue, now);
        return waitingRequest;
    }

    private void dequeue(WaitingRequest waitingRequest, long now) {
        waiting.remove(waitingRequest);
        waitingRequest.queue.remove(waitingRequest);
        policy.queueChanged(waitingRequest.queue, now);
    }

    private void grantAll(long now, List<DispatchAction> actions) {
        List<WaitingRequest> skipped = new ArrayList<>();
        while (pool.freeSlots() > 0 && skipped.size() < MAX_SKIPPED_REQUESTS) {
            WorkspaceQueue queue = policy.nextQueue(now);
            if (queue == null) {
                break;
            }
            WaitingRequest head = queue.head();
            ServerSlots slots = pool.leastLoaded(head.request.excludedServers());
            if (slots == null) {
                queue.remove(head);
                policy.queueChanged(queue, now);
                skipped.add(head);
            } else {
                grant(head, slots, now, actions);
            }
        }
        for (WaitingRequest waitingRequest : skipped) {
            waitingRequest.queue.add(waitingRequest);
            policy.queueChanged(waitingRequest.queue, now);
        }
    }

    private void grant(WaitingRequest waitingRequest, ServerSlots slots, long now, List<DispatchAction> actions) {
        QueuedRequest request = waitingRequest.request;
        dequeue(waitingRequest, now);
        ClassOfWork work = configuration.classes().get(request.classOfWork());
        boolean preemptible = slots.server.kind() == ServiceKind.MODEL && (work == null || work.idempotent());
        GrantedAttempt granted = new GrantedAttempt(request, waitingRequest.queue, slots, preemptible, now);
        grantedAttempts.add(granted);
        updateOccupancy(granted, 1);
        enterStage(granted, GrantedAttempt.Stage.GRANTED, now);
        waitingRequest.queue.grantRate.add(1, now);
        policy.granted(waitingRequest.queue, granted.estimatedUnits, now);
        addCharge(granted, granted.estimatedUnits);
        actions.add(new DispatchAction.Granted(
                request.entryRouter(),
                request.attempt(),
                slots.server,
                settings.startTimeout(),
                estimatedWait(waitingRequest.queue, now)));
    }

    private void preempt(long now, List<DispatchAction> actions) {
        if (pool.freeSlots() > 0 || stopping) {
            return;
        }
        double perSecond = meanServerSeconds == 0 ? 0 : pool.capacity() / meanServerSeconds;
        for (GrantedAttempt victim :
                preemption.plan(perSecond, (long) (2 * meanFirstTokenMillis * NANOS_PER_MILLI), now)) {
            enterStage(victim, GrantedAttempt.Stage.PREEMPTED, now);
            actions.add(new DispatchAction.Preempted(victim.entryRouter, victim.attempt));
        }
    }

    private void updateOccupancy(GrantedAttempt granted, int change) {
        if (change > 0) {
            granted.queue.inFlight.add(granted);
        } else {
            granted.queue.inFlight.remove(granted);
            granted.slots.orphans.remove(granted);
            if (granted.stage == GrantedAttempt.Stage.PREEMPTED) {
                granted.slots.preempting--;
            }
        }
        ServerSlots slots = granted.slots;
        slots.inFlight += change;
        // With only a share of the limit in use, the latency says nothing about the full limit, which would grow
        // until the share is as large as the full limit was.
        slots.limit.recordInFlight(slots.inFlight, slots.server.share() >= 1 && slots.freeSlots() == 0);
        pool.update(slots);
    }

    private void enterStage(GrantedAttempt granted, GrantedAttempt.Stage stage, long now) {
        granted.stage = stage;
        granted.stageNanos = now;
        long duration = switch (stage) {
            case GRANTED ->
                settings.startTimeout().plus(settings.startTimeoutMargin()).toNanos();
            case LAPSED -> LAPSED_RETENTION_NANOS;
            case HANDED_OVER -> HANDED_OVER_RETENTION_NANOS;
            case ORPHANED, PREEMPTED -> settings.orphanTimeout().toNanos();
            case STARTED -> 0;
        };
        if (duration > 0) {
            grantedAttempts.scheduleStageEnd(granted, now + duration);
        }
    }

    private void withdraw(RequestAttempt attempt, long now) {
        WaitingRequest waitingRequest = waiting.get(attempt.request());
        if (waitingRequest != null && waitingRequest.request.attempt().equals(attempt)) {
            dequeue(waitingRequest, now);
            return;
        }
        GrantedAttempt granted = grantedAttempts.get(attempt);
        if (granted != null) {
            release(granted, 0, now);
        }
    }

    private void sendStarted(RequestAttempt attempt, long now) {
        GrantedAttempt granted = grantedAttempts.get(attempt);
        if (granted != null) {
            markStarted(granted, now);
        }
    }

    /** Marks an attempt as started. An attempt whose grant was revoked occupies its slot and is charged again. */
    private void markStarted(GrantedAttempt granted, long now) {
        if (granted.stage == GrantedAttempt.Stage.LAPSED) {
            updateOccupancy(granted, 1);
            policy.corrected(granted.queue, granted.estimatedUnits, now);
            addCharge(granted, granted.estimatedUnits);
        }
        if (granted.stage == GrantedAttempt.Stage.GRANTED || granted.stage == GrantedAttempt.Stage.LAPSED) {
            enterStage(granted, GrantedAttempt.Stage.STARTED, now);
        }
    }

    private void progress(DispatchEvent.Progressed progressed, long now) {
        GrantedAttempt granted = grantedAttempts.get(progressed.attempt());
        if (granted == null) {
            return;
        }
        markStarted(granted, now);
        granted.producedUnits += progressed.units();
        long beyondEstimate = granted.producedUnits - granted.prechargedUnits - granted.chargedUnits;
        if (beyondEstimate > 0) {
            adjustCharge(granted, beyondEstimate, now);
        }
        granted.slots.limit.recordTokenInterval(progressed.worstTokenIntervalMillis(), tokenTarget(granted), now);
        pool.update(granted.slots);
    }

    private void end(RequestAttempt attempt, EndReport report, long now) {
        GrantedAttempt granted = grantedAttempts.get(attempt);
        if (granted == null) {
            return;
        }
        markStarted(granted, now);
        ConcurrencyLimit limit = granted.slots.limit;
        switch (report.outcome()) {
            case COMPLETED -> {
                meanServerSeconds = updateMean(meanServerSeconds, report.serverMillis() / 1e3);
                meanFirstTokenMillis = updateMean(meanFirstTokenMillis, report.firstTokenMillis());
                limit.recordCompletion(granted.classOfWork, report.serverMillis(), now);
            }
            case FAILED -> limit.recordFailure(now);
            case BROKEN -> limit.recordBrokenConnection(now);
            case COLD -> limit.startColdRamp(OptionalInt.empty(), now);
            default -> limit.tick(now);
        }
        release(granted, Math.max(0, report.totalUnits() - granted.prechargedUnits), now);
    }

    /** Removes an attempt, corrects its charge to the actual service and frees its slot. */
    private void release(GrantedAttempt granted, long totalUnits, long now) {
        grantedAttempts.remove(granted);
        adjustCharge(granted, totalUnits - granted.chargedUnits, now);
        if (granted.holdsSlot()) {
            updateOccupancy(granted, -1);
        }
    }

    private void adjustCharge(GrantedAttempt granted, long units, long now) {
        if (units != 0) {
            policy.corrected(granted.queue, units, now);
            addCharge(granted, units);
        }
    }

    private void addCharge(GrantedAttempt granted, long units) {
        granted.chargedUnits += units;
        granted.queue.undrainedUnits += units;
        undrained.add(granted.queue);
    }

    private void entryRouterLost(RouterId entryRouter, long now) {
        waiting.ofEntryRouter(entryRouter).forEach(lost -> dequeue(lost, now));
        for (GrantedAttempt granted : grantedAttempts.ofEntryRouter(entryRouter)) {
            if (granted.holdsSlot()) {
                enterStage(granted, GrantedAttempt.Stage.ORPHANED, now);
                granted.slots.orphans.add(granted);
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
        for (GrantedAttempt granted : grantedAttempts.onServer(slots)) {
            if (granted.holdsSlot()) {
                updateOccupancy(granted, -1);
                enterStage(granted, GrantedAttempt.Stage.HANDED_OVER, now);
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
                GrantedAttempt granted = new GrantedAttempt(entry, queues.get(entry.workspace()), slots, now);
                grantedAttempts.add(granted);
                updateOccupancy(granted, 1);
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
        for (WaitingRequest waitingRequest : waiting.all()) {
            dequeue(waitingRequest, now);
            refuseOrRedirect(waitingRequest.request, code, actions);
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
        for (WaitingRequest waitingRequest = waiting.expired(now);
                waitingRequest != null;
                waitingRequest = waiting.expired(now)) {
            dequeue(waitingRequest, now);
            refuse(
                    waitingRequest.request,
                    RefusalCode.PATIENCE_EXCEEDED,
                    estimatedWait(waitingRequest.queue, now),
                    actions);
        }
        if (now - lastLimitUpdateNanos >= LIMIT_UPDATE_INTERVAL_NANOS) {
            lastLimitUpdateNanos = now;
            for (ServerSlots slots : pool.all()) {
                slots.limit.tick(now);
                pool.update(slots);
            }
        }
        for (GrantedAttempt ended = grantedAttempts.pollEndedStage(now);
                ended != null;
                ended = grantedAttempts.pollEndedStage(now)) {
            endStage(ended, now);
        }
    }

    private void endStage(GrantedAttempt granted, long now) {
        switch (granted.stage) {
            case GRANTED -> {
                adjustCharge(granted, -granted.chargedUnits, now);
                updateOccupancy(granted, -1);
                enterStage(granted, GrantedAttempt.Stage.LAPSED, now);
            }
            case LAPSED, HANDED_OVER -> grantedAttempts.remove(granted);
            default -> release(granted, Math.max(0, granted.producedUnits - granted.prechargedUnits), now);
        }
    }

    private int queueBound(WorkspaceQueue queue, long now) {
        double byRate = queue.grantRate.perSecond(now) * settings.queueSeconds();
        return (int) Math.min(settings.maxQueueBound(), Math.max(settings.minQueueBound(), byRate));
    }

    /** Estimates the wait by Little's law: start rate = number of slots / mean time that a request holds one. */
    private Duration estimatedWait(WorkspaceQueue queue, long now) {
        if (pool.freeSlots() > 0 || meanServerSeconds == 0) {
            return Duration.ZERO;
        }
        double perSecond = Math.max(1, pool.capacity()) / meanServerSeconds;
        return Duration.ofMillis((long) (1_000 * policy.grantsAhead(queue, now) / perSecond));
    }

    private int tokenTarget(GrantedAttempt granted) {
        ClassOfWork work = configuration.classes().get(granted.classOfWork);
        return work == null ? 0 : work.target().betweenTokensMillis();
    }

    private static double updateMean(double previous, double sample) {
        return previous == 0 ? sample : previous + MEAN_SMOOTHING * (sample - previous);
    }
}
