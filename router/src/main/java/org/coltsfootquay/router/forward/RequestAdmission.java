package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.coltsfootquay.decision.admission.AdmissionDecision;
import org.coltsfootquay.decision.admission.AdmissionDecision.Reason;
import org.coltsfootquay.decision.admission.Demand;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.route.Route;
import org.coltsfootquay.decision.route.RouteKind;
import org.coltsfootquay.decision.route.ServicePolicy;
import org.coltsfootquay.decision.selection.Prompt;
import org.coltsfootquay.decision.selection.SelectedServer;
import org.coltsfootquay.decision.waiting.PlaceQuery;
import org.coltsfootquay.decision.waiting.RequestClass;
import org.coltsfootquay.decision.waiting.WaitingRequest;
import org.coltsfootquay.decision.waiting.WaitingRoom.Verdict;

/**
 * Decides whether a request may be sent to the server that was selected for it, waits, or is rejected.
 *
 * <p>A request that is rejected, or has waited in vain, was not sent to any server that may have executed it.
 */
final class RequestAdmission implements WaitingRequest.Listener {

    /** Fraction of the remaining time that the expected latency may take; above it, a request is rejected. */
    private static final double MAX_EXPECTED_TIME_SHARE = 0.8;

    /** Weight of a generated token relative to a prompt token, as in the operator's measure of workspace shares. */
    private static final double OUTPUT_WEIGHT = 2;

    /** Duration of a long request relative to the usual one. */
    private static final int LONG_RUN_FACTOR = 2;

    /** Workspace of requests on routes without authentication. */
    private static final WorkspaceId NO_WORKSPACE = new WorkspaceId("none");

    private static final String NO_ROOM = "no_room";

    private final ForwardingContext context;
    private final RelayLog log;
    private final Route route;
    private final ServicePolicy service;
    private final WorkspaceId workspace;
    private final Prompt prompt;
    private final RequestTimes times;
    private final int bodyBytes;
    private final Runnable recheck;
    private final BiConsumer<String, Duration> reject;
    private final RequestClass requestClass;

    /** Whether requests of this kind wait; others are sent or refused at once. Fixed when the request arrives. */
    private final boolean waits;

    private WaitingRequest waiting;
    private Duration lastQueueTime = Duration.ZERO;
    private boolean countedAsDispatched;
    private long dispatchedNanos;

    /**
     * Creates an admission.
     *
     * @param recheck selects a server again while the request waits
     * @param reject rejects the request for a reason and tells its caller when to return
     */
    RequestAdmission(
            ForwardingContext context,
            RelayLog log,
            Route route,
            ServicePolicy service,
            Optional<WorkspaceId> workspace,
            RequestMetadata requestMetadata,
            long arrivalNanos,
            int bodyBytes,
            Runnable recheck,
            BiConsumer<String, Duration> reject) {
        this.context = context;
        this.log = log;
        this.route = route;
        this.service = service;
        this.workspace = workspace.orElse(NO_WORKSPACE);
        this.prompt = requestMetadata.prompt();
        this.times = RequestTimes.of(arrivalNanos, requestMetadata, route);
        this.bodyBytes = bodyBytes;
        this.recheck = recheck;
        this.reject = reject;
        int priority = context.configuration()
                .map(configuration -> configuration.priority(workspace, route))
                .orElse(route.priority());
        this.requestClass = RequestClass.of(priority, route.name(), weightedTokens());
        this.waits = context.waiting().enabled(context.peers().members().size())
                && service.cacheTokens() > 0
                && !route.target().isZero();
    }

    /** Records that the request has arrived. */
    void recordRequested() {
        context.retryShare().recordRequest(service.name(), now());
        context.demands().recordRequested(service.name(), workspace, weightedTokens(), now());
        if (waits) {
            context.waiting().requested(service.name(), requestClass);
        }
    }

    /** Records that the request is sent; counts as service of its workspace until it is withdrawn. */
    void recordDispatched() {
        if (!countedAsDispatched) {
            countedAsDispatched = true;
            dispatchedNanos = now();
            context.demands().recordDispatched(service.name(), workspace, weightedTokens(), dispatchedNanos);
            if (waits) {
                context.waiting().sent(service.name(), requestClass);
            }
        }
    }

    /** Records that the request is sent to a second server too; this work is never withdrawn. */
    void recordHedge() {
        context.demands().recordDispatched(service.name(), workspace, weightedTokens(), now());
    }

    /**
     * Records that a server has turned the request away or failed. Unless it may have been executed, the
     * request does not count as service of its workspace any more.
     *
     * @param executed false if the request was turned away, or the server crashed before it began a response
     */
    void serverFailed(boolean executed) {
        if (countedAsDispatched && !executed) {
            countedAsDispatched = false;
            context.demands().withdrawDispatched(service.name(), workspace, weightedTokens(), dispatchedNanos, now());
        }
    }

    /** Ends the admission; the request waits no longer, and its server may have room for another one. */
    void close() {
        leaveQueue();
        context.waiting().roomChanged();
    }

    /**
     * Returns whether the request may be sent to the selected server now. Otherwise it waits and is checked again, or
     * was rejected.
     *
     * @param server selected server
     */
    boolean maySend(SelectedServer server) {
        lastQueueTime = server.queueTime();
        if (!waits) {
            AdmissionDecision decision = decide(server, times.waited(now()));
            if (decision.admitted()) {
                log.admitted(server, decision, Duration.ZERO);
            } else {
                logRejection(server, decision);
                reject.accept(NO_ROOM, RetryAfter.forQueueTime(server.queueTime(), route.target()));
            }
            return decision.admitted();
        }
        AdmissionDecision decision = decide(server, Duration.ZERO);
        PlaceQuery query = new PlaceQuery(
                workspace,
                this::demands,
                server,
                decision,
                expectedPastDeadline(server),
                allowedTime(server),
                times.waited(now()),
                Duration.ofNanos(waitUntilNanos() - now()));
        Verdict verdict = context.waiting().decide(service.name(), Optional.ofNullable(waiting), query);
        // A retry late in its time cannot wait for those that go first.
        boolean cannotWait =
                waiting == null && decision.admitted() && !context.waiting().mayWait(waitUntilNanos());
        if (cannotWait || verdict == Verdict.SEND) {
            log.admitted(server, decision, waiting == null ? Duration.ZERO : times.waited(now()));
            leaveQueueToServer();
            return true;
        }
        if (verdict == Verdict.WAIT) {
            waitFor(server, decision);
        } else {
            leaveQueue();
            logRejection(server, decision);
            rejectWithReturn();
        }
        return false;
    }

    private void leaveQueueToServer() {
        if (waiting != null) {
            context.metrics()
                    .recordLatency(
                            "coltsfootquay_waiting_seconds{service=\"" + service.name() + "\"}",
                            now() - times.arrivalNanos());
            leaveQueue();
        }
    }

    /** Returns whether the request waits; it is refused when its wait ends, whether or not a server is selectable. */
    boolean waiting() {
        return waiting != null;
    }

    private void waitFor(SelectedServer server, AdmissionDecision decision) {
        ServerName name = server.entry().server();
        if (waiting != null) {
            context.waiting().setServer(service.name(), waiting, name);
            return;
        }
        Duration own = server.expectedLatency().minus(server.queueWaitTime());
        waiting = new WaitingRequest(
                requestClass,
                workspace,
                weightedTokens(),
                bodyBytes,
                times.arrivalNanos() + route.target().minus(own).toNanos(),
                waitUntilNanos(),
                this);
        log.waiting(server, decision, requestClass.priority());
        context.waiting().add(service.name(), waiting, name, decision.admitted());
    }

    @Override
    public void recheck() {
        if (waiting != null) {
            recheck.run();
        }
    }

    @Override
    public void refuse(WaitingRequest.Refusal reason) {
        waiting = null;
        log.waitedInVain(times.waited(now()), reason);
        rejectWithReturn();
    }

    private void rejectWithReturn() {
        Duration earliest = RetryAfter.queueEnd(lastQueueTime, route.target());
        reject.accept(
                NO_ROOM,
                context.waiting()
                        .nextReturn(service.name(), earliest, RetryAfter.atMostMax(times.maxReturnTime(now()))));
    }

    private long waitUntilNanos() {
        return times.waitUntilNanos(context.waiting().timeShare());
    }

    private void leaveQueue() {
        if (waiting != null) {
            context.waiting().remove(service.name(), waiting);
            waiting = null;
        }
    }

    private void logRejection(SelectedServer server, AdmissionDecision decision) {
        context.metrics().count("coltsfootquay_not_admitted_total{reason=\"" + decision.reason() + "\"}");
        log.notAdmitted(
                server, decision, context.loads().totalLoad(server.entry().server()));
    }

    /**
     * Decides by the load of the server.
     *
     * @param waited time that the request has waited, as far as it counts like a wait at the server
     */
    private AdmissionDecision decide(SelectedServer server, Duration waited) {
        if (expectedPastDeadline(server)) {
            return AdmissionDecision.withoutShares(Reason.TOO_LATE);
        }
        if (service.cacheTokens() == 0 || route.target().isZero()) {
            return AdmissionDecision.withoutShares(Reason.NO_WAIT);
        }
        return context.admission()
                .decide(
                        workspace,
                        weightedTokens(),
                        this::demands,
                        server.queueWaitTime().plus(waited),
                        server.meanQueueWaitTime(),
                        allowedTime(server));
    }

    private Map<WorkspaceId, Demand> demands() {
        return waits
                ? context.waiting().weightedDemands(service.name(), requestClass, workspace)
                : context.demands().totalDemands(service.name(), now());
    }

    private boolean expectedPastDeadline(SelectedServer server) {
        return server.expectedLatency().toNanos() > times.remaining(now()).toNanos() * MAX_EXPECTED_TIME_SHARE;
    }

    private Duration allowedTime(SelectedServer server) {
        return route.target().minus(server.constantTime());
    }

    /** Returns whether the request can end before this router does; true unless the router stops. */
    boolean canEndBeforeStop(SelectedServer server) {
        Duration remaining = times.remaining(now());
        return context.stopWindow()
                .map(window ->
                        window.permits(route.isRetryable(), remaining, expectedDuration(server, remaining), now()))
                .orElse(true);
    }

    /** Returns the time in which most requests of this kind end. */
    private Duration expectedDuration(SelectedServer server, Duration remaining) {
        if (route.kind() == RouteKind.STREAM) {
            double runMillis = context.latencyModel().runMillis(server.entry().server());
            return server.expectedLatency().plusMillis((long) (LONG_RUN_FACTOR * runMillis));
        }
        return route.target().isZero() ? remaining : route.target().multipliedBy(LONG_RUN_FACTOR);
    }

    /** Returns the request size for comparing workspaces: prompt tokens plus weighted maximum output tokens. */
    double weightedTokens() {
        return prompt.tokens() + OUTPUT_WEIGHT * prompt.maxOutputTokens();
    }

    private long now() {
        return context.timers().nowNanos();
    }
}
