package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.quarantine.Rejection;
import org.coltsfootquay.decision.route.Route;
import org.coltsfootquay.decision.route.RouteKind;
import org.coltsfootquay.decision.route.RoutingConfiguration;
import org.coltsfootquay.decision.route.ServicePolicy;
import org.coltsfootquay.decision.selection.SelectedServer;
import org.coltsfootquay.decision.selection.SelectionRequest;
import org.coltsfootquay.decision.timer.TimerService.ScheduledTask;

/**
 * Relay of one request of a caller from its arrival to its final response; runs on the event loop.
 *
 * <p>A request whose bytes may have reached a server is retried only if the route permits retries or the server stated
 * that it did not execute the request. A rejection with status 429 or 503 is sent only if no server can have executed
 * the request.
 */
final class RequestRelay implements HedgedSend.Owner {

    /** Time before the deadline of a request at which its final response is sent; covers transit to the caller. */
    private static final Duration DEADLINE_MARGIN = Duration.ofMillis(40);

    /** Factor on the expected latency after which a first event is overdue; above the usual error of the estimate. */
    private static final double OVERDUE_FACTOR = 1.4;

    private static final String STOPPING = "stopping";

    private static final String EVENT_STREAM = "text/event-stream";

    /** Failed attempts to get a connection for a request after which it is rejected. */
    private static final int MAX_ACQUIRE_FAILURES = 4;

    /** Outcome of a request whose response finds no room in the memory for responses. */
    private static final String MEMORY_EXHAUSTED = "memory_exhausted";

    /** Outcome of a request that is rejected because a part of its prompt crashes servers. */
    private static final String QUARANTINED = "quarantined_part";

    private final ForwardingContext context;
    private final CallerResponseWriter caller;
    private final BufferedRequest request;
    private final RequestMetadata requestMetadata;
    private final Route route;
    private final Optional<WorkspaceId> workspace;
    private final ServicePolicy service;
    private final long arrivalNanos;
    private final long deadlineNanos;
    private final RelayLog log;
    private Reservation reservation;
    private final RequestAdmission admission;
    private PromptPartTracker promptParts;
    private final ProbeWait probeWait;
    private final HedgedSend hedge;
    private final ResponseTimer responseTimer;
    private final Set<ServerName> triedServers = new HashSet<>();
    private ScheduledTask deadlineTimer;
    private SelectedServer selectedServer;
    private ServerConnection connection;
    /** Connection of the last send, also after the response. */
    private ServerConnection sentConnection;

    private ReceivedResponse response;
    private EventSplitter eventSplitter;
    private String streamMediaType;
    private int acquireFailures;
    private int sends;
    private boolean checkedState;
    private boolean streaming;
    private boolean done;
    private long firstEventNanos;
    private long sentNanos;
    /** Number of sends that a server may have executed: those not reported as not executed. */
    private int unresolvedSends;

    RequestRelay(
            ForwardingContext context,
            CallerResponseWriter caller,
            BufferedRequest request,
            RequestMetadata requestMetadata,
            Route route,
            Optional<WorkspaceId> workspace,
            ServicePolicy service,
            long arrivalNanos) {
        this.context = context;
        this.caller = caller;
        this.request = request;
        this.requestMetadata = requestMetadata;
        this.route = route;
        this.workspace = workspace;
        this.service = service;
        this.arrivalNanos = arrivalNanos;
        this.deadlineNanos = RequestTimes.deadlineOf(arrivalNanos, requestMetadata, route);
        this.log = new RelayLog(requestMetadata.requestId(), route, workspace);
        this.reservation = new Reservation(context.loads());
        this.responseTimer = new ResponseTimer(context.timers(), route, this::responseTimedOut);
        this.admission = new RequestAdmission(
                context,
                log,
                route,
                service,
                workspace,
                requestMetadata,
                arrivalNanos,
                request.body().length,
                this::trySend,
                this::fail);
        this.promptParts =
                new PromptPartTracker(context.quarantine(), context.timers(), service.name(), requestMetadata);
        this.probeWait = new ProbeWait(context, log, () -> promptParts, this::trySend, this::fail);
        RelayedRequest relayed = new RelayedRequest(request, requestMetadata, route, workspace, service, deadlineNanos);
        this.hedge = new HedgedSend(context, this, relayed, log, admission, triedServers);
    }

    /** Starts to process the request. */
    void start() {
        admission.recordRequested();
        long remaining = Math.max(0, deadlineNanos - now() - DEADLINE_MARGIN.toNanos());
        deadlineTimer =
                context.timers().scheduleOnce("request deadline", Duration.ofNanos(remaining), this::deadlineReached);
        trySend();
    }

    /** Ends the request after the caller disconnected; the closed connection tells the server to stop work. */
    void callerDisconnected() {
        if (!done) {
            finish("caller_left", 0);
        }
    }

    /** Ends the request because the router is about to end. */
    void routerStopping() {
        if (!done) {
            fail(STOPPING, Duration.ZERO);
        }
    }

    /** Resumes reading from the server when the caller can receive data again. */
    void callerWritable() {
        if (connection != null) {
            connection.setReadingPaused(false);
        }
    }

    private void trySend() {
        if (done || rejectIfQuarantined()) {
            return;
        }
        Optional<SelectedServer> choice = selectServer();
        if (choice.isEmpty()) {
            if (!admission.waiting()) {
                failWithoutServer();
            }
            return;
        }
        selectedServer = choice.get();
        if (!streaming && !mayHaveExecuted() && !admission.maySend(selectedServer)) {
            return;
        }
        if (sends == 0 && !admission.canEndBeforeStop(selectedServer)) {
            fail(STOPPING, Duration.ZERO);
            return;
        }
        if (probeWait.defer()) {
            return;
        }
        reservation.reserve(selectedServer, requestMetadata.prompt());
        BackendEntry target = selectedServer.entry();
        context.connectionPool().acquire(target, this::send, reason -> connectFailed(target, reason));
    }

    /** Selects a server that the request was not sent to before. */
    private Optional<SelectedServer> selectServer() {
        return context.eligibleServerSelector()
                .select(
                        service,
                        new SelectionRequest(requestMetadata.prompt(), route.target(), now()),
                        triedServers,
                        context.selector(service),
                        context.peers().members());
    }

    /** Ends the request if a part of its prompt is quarantined; returns whether it is. */
    private boolean rejectIfQuarantined() {
        Optional<Rejection> rejection = promptParts.rejection();
        if (rejection.isEmpty()) {
            return false;
        }
        log.quarantined(rejection.get());
        if (streaming) {
            abortStream(QUARANTINED);
        } else if (rejection.get().settled()) {
            caller.sendResponse(
                    HttpResponseStatus.BAD_REQUEST,
                    new DefaultHttpHeaders(),
                    ErrorResponseBody.ofQuarantinedPart(QUARANTINED, !mayHaveExecuted()));
            finish(QUARANTINED, HttpResponseStatus.BAD_REQUEST.code());
        } else {
            fail(QUARANTINED, rejection.get().retryAfter());
        }
        return true;
    }

    /** Ends the request because no server may get it now. */
    private void failWithoutServer() {
        Optional<Duration> pauseEnd = context.eligibleServerSelector().firstPauseEnd(service.name(), now());
        if (pauseEnd.isPresent()) {
            fail("servers_paused", RetryAfter.forPauseEnd(pauseEnd.get()));
        } else {
            fail("no_server", RetryAfter.NO_SERVER);
        }
    }

    private void connectFailed(BackendEntry target, String reason) {
        if (done) {
            return;
        }
        reservation.release();
        context.health().recordUnreachable(target.server(), now());
        context.metrics().count("coltsfootquay_server_connect_failures_total");
        log.unreachable(target.server(), reason);
        acquireAgainOr(() -> fail("unreachable", RetryAfter.NO_SERVER));
    }

    private void acquireAgainOr(Runnable failure) {
        acquireFailures++;
        if (acquireFailures >= MAX_ACQUIRE_FAILURES) {
            failure.run();
        } else {
            trySend();
        }
    }

    private void send(ServerConnection serverConnection) {
        if (done) {
            context.connectionPool().release(serverConnection);
            return;
        }
        if (!checkedState) {
            checkedState = true;
            Runnable send = () -> context.freshness().runWhenFresh(() -> send(serverConnection));
            if (context.eventLoopLag().lagging()) {
                // The caller may have disconnected, and the server may have been removed, during the lag.
                context.eventLoopLag().runAfterPendingReads(send);
            } else {
                send.run();
            }
            return;
        }
        checkedState = false;
        BackendEntry target = selectedServer.entry();
        if (!serverConnection.isOpen()) {
            connectFailed(target, "closed before use");
            return;
        }
        if (rejectIfQuarantined() || probeWait.defer()) {
            context.connectionPool().release(serverConnection);
            reservation.release();
            return;
        }
        long now = now();
        if (!context.eligibleServerSelector()
                .tryAcquire(target, service, context.peers().members(), now)) {
            // While connecting, the server started to leave or its cold-start allowance was used up.
            context.connectionPool().release(serverConnection);
            reservation.release();
            acquireAgainOr(this::failWithoutServer);
            return;
        }
        connection = serverConnection;
        sentConnection = serverConnection;
        sends++;
        unresolvedSends++;
        response = new ReceivedResponse(context.responseBudget().open(service.name(), this::responseEvicted));
        triedServers.add(target.server());
        promptParts.sent();
        Duration remaining = Duration.ofNanos(Math.max(1, deadlineNanos - now));
        Optional<String> resumeAfter = eventSplitter == null ? Optional.empty() : eventSplitter.lastId();
        ForwardMetadata forwardMetadata = new ForwardMetadata(target, remaining, workspace, resumeAfter);
        HttpHeaders forwardHeaders = context.dialect().serverHeaders(request.headers(), forwardMetadata);
        sentNanos = now;
        context.awaitFirstEvent(
                reservation, now + (long) (selectedServer.expectedLatency().toNanos() * OVERDUE_FACTOR));
        context.promptSent(target.server(), requestMetadata.prompt(), selectedServer.prefillTokens());
        admission.recordDispatched();
        log.sent(
                selectedServer,
                serverConnection,
                requestMetadata.prompt(),
                sends,
                context.loads().totalLoad(target.server()).requests(),
                context.configuration().map(RoutingConfiguration::version).orElse(0L));
        startResponseTimer();
        hedge.ownerSent(selectedServer, sends);
        serverConnection.send(
                request.method(), request.uri(), forwardHeaders, request.body(), requestMetadata.requestId(), this);
    }

    @Override
    public void headBytesReceived(int bytes) {
        holdResponse(bytes);
    }

    /** Counts the bytes that the response occupies; gives it up and returns false if there is no room. */
    private boolean holdResponse(int bytes) {
        boolean held = response.hold(bytes);
        if (!held) {
            abandonResponse(MEMORY_EXHAUSTED);
        }
        return held;
    }

    @Override
    public void responseStarted(HttpResponse head, ResponseMetadata parsedMetadata) {
        response.start(head, parsedMetadata);
        context.noticeRecorder()
                .responseReceived(selectedServer.entry(), requestMetadata.requestId(), head, parsedMetadata);
        boolean successful = response.successful();
        hedge.firstBegan(successful && route.kind() == RouteKind.STREAM);
        if (successful && (!parsedMetadata.signed() || parsedMetadata.contentEncoded())) {
            connection.discard();
            responseFailed("unsigned_answer");
            return;
        }
        if (successful && route.kind() == RouteKind.STREAM) {
            responseTimer.cancel();
            if (streaming) {
                if (!HeaderUtils.mediaType(head.headers()).equals(streamMediaType)) {
                    abandonResponse("resumed_without_stream");
                }
            } else {
                streaming = true;
                streamMediaType = HeaderUtils.mediaType(head.headers());
                eventSplitter = new EventSplitter();
                caller.startResponse(head.status(), HeaderUtils.copyEndToEnd(head.headers()));
            }
        }
    }

    @Override
    public void bodyReceived(ByteBuf bytes) {
        if (!succeeding()) {
            if (response.bodySize() + bytes.readableBytes() > responseLimits().bodyBytes()) {
                abandonResponse("endless_body");
            } else if (!response.addToBody(bytes)) {
                abandonResponse(MEMORY_EXHAUSTED);
            }
            return;
        }
        byte[] completeEvents = eventSplitter.add(bytes);
        if (eventSplitter.outOfOrder()) {
            log.responseFailed(
                    selectedServer.entry().server(), "event_order", eventSplitter.lastId(), sentConnection.trace());
            abortStream("event_order");
            return;
        }
        if (eventSplitter.incompleteBytes() > responseLimits().eventBytes()) {
            abandonResponse("endless_event");
            return;
        }
        if (!holdResponse(eventSplitter.capacity())) {
            return;
        }
        if (completeEvents.length == 0) {
            return;
        }
        promptParts.eventReceived();
        if (firstEventNanos == 0) {
            firstEventNanos = now();
            reservation.promptProcessed();
            hedge.firstAnswered();
            context.responseRecorder().firstEvent(selectedServer, route, service, arrivalNanos, sentNanos);
        }
        if (!caller.writeBody(completeEvents)) {
            connection.setReadingPaused(true);
        }
    }

    private ResponseLimits responseLimits() {
        return context.connectionPool().responseLimits();
    }

    /** Closes the connection to a server that sends without end, and handles the response as failed. */
    private void abandonResponse(String cause) {
        connection.discard();
        responseFailed(cause);
    }

    /** Gives up the response because another one of the service needs its memory. */
    private void responseEvicted() {
        if (connection != null) {
            abandonResponse(MEMORY_EXHAUSTED);
        }
    }

    @Override
    public void responseCompleted() {
        connection = null;
        responseTimer.cancel();
        if (succeeding() && mayContainEvents() && eventSplitter.withinEvent()) {
            responseFailed("truncated_event");
            return;
        }
        if (!response.endsWithConnection()) {
            handleCompleteResponse();
            return;
        }
        // The end of the connection completes the response, unless the server has crashed.
        ServerConnection completed = sentConnection;
        context.crashDetector().checkAlive(selectedServer.entry(), alive -> {
            if (done || completed != sentConnection) {
                return;
            }
            if (alive) {
                handleCompleteResponse();
            } else {
                responseFailed("closed");
            }
        });
    }

    /** Returns whether the current response continues the stream of the caller. */
    private boolean succeeding() {
        return streaming && response.successful();
    }

    /** Returns whether the stream of the caller is not declared as anything but server-sent events. */
    private boolean mayContainEvents() {
        return streamMediaType.isEmpty() || streamMediaType.equals(EVENT_STREAM);
    }

    private void handleCompleteResponse() {
        ServerName server = selectedServer.entry().server();
        HttpResponseStatus status = response.status();
        if (succeeding()) {
            if (eventSplitter.incompleteBytes() > 0) {
                caller.writeBody(eventSplitter.takeIncomplete());
            }
            caller.endResponse();
            promptParts.responseCompleted();
            if (sends == 1) {
                context.responseRecorder().streamCompleted(selectedServer, route, firstEventNanos);
            }
            finish("served", status.code());
            return;
        }
        ResponseOutcome outcome = response.outcome();
        if (outcome == ResponseOutcome.NOT_EXECUTED) {
            handleNotExecuted(server, status);
            return;
        }
        boolean failed = outcome != ResponseOutcome.PROCESSED;
        recordOutcome(failed);
        if (failed && hedge.takeOver()) {
            return;
        }
        if (failed && tryAcquireRetry()) {
            retry("server_error");
        } else if (streaming) {
            abortStream("resume_refused");
        } else if (outcome == ResponseOutcome.UNCONFIRMED_REFUSAL) {
            sendError(HttpResponseStatus.BAD_GATEWAY, Optional.empty(), "unconfirmed_refusal");
        } else {
            response.sendTo(caller);
            response = null;
            finish("served", status.code());
        }
    }

    private void recordOutcome(boolean failed) {
        if (!failed && response.successful()) {
            promptParts.responseCompleted();
            hedge.firstAnswered();
        }
        context.responseRecorder().completed(selectedServer, route, failed, sentNanos);
    }

    @Override
    public void responseFailed(String cause) {
        ServerName server = selectedServer.entry().server();
        connection = null;
        releaseResponse();
        responseTimer.cancel();
        admission.serverFailed(streaming || !CrashDetector.isCrash(cause) || response.started());
        context.responseRecorder().broken(selectedServer, route, streaming || !CrashDetector.isCrash(cause));
        log.responseFailed(
                server, cause, streaming ? eventSplitter.lastId() : Optional.empty(), sentConnection.trace());
        ServerConnection failed = sentConnection;
        context.crashDetector()
                .responseFailed(
                        cause, selectedServer.entry(), promptParts.unansweredParts(), () -> retryOrFail(cause, failed));
    }

    private void retryOrFail(String cause, ServerConnection failed) {
        if (done || failed != sentConnection || rejectIfQuarantined() || hedge.takeOver()) {
            return;
        }
        if (tryAcquireRetry()) {
            retry(cause);
        } else if (streaming) {
            abortStream(cause);
        } else {
            sendError(HttpResponseStatus.BAD_GATEWAY, Optional.empty(), cause);
        }
    }

    private void handleNotExecuted(ServerName server, HttpResponseStatus status) {
        reservation.release();
        releaseResponse();
        unresolvedSends--;
        admission.serverFailed(streaming);
        log.serverRefused(server, status.code());
        context.responseRecorder().refused(server, status);
        if (hedge.takeOver()) {
            return;
        }
        boolean attemptsLeft = sends < route.maxAttempts() || status.equals(HttpResponseStatus.MISDIRECTED_REQUEST);
        if (attemptsLeft
                && context.retryShare()
                        .tryAcquire(service.name(), context.peers().members().size(), now())) {
            trySend();
        } else if (streaming) {
            abortStream("resume_refused");
        } else {
            fail("server_full", RetryAfter.OVERLOAD);
        }
    }

    private boolean mayHaveExecuted() {
        return unresolvedSends > 0;
    }

    private boolean tryAcquireRetry() {
        return route.isRetryable()
                && sends < route.maxAttempts()
                && deadlineNanos - now() > ResponseTimer.MIN_TIMEOUT.toNanos()
                && (!streaming || eventSplitter.lastId().isPresent() || firstEventNanos == 0)
                && context.retryShare()
                        .tryAcquire(service.name(), context.peers().members().size(), now());
    }

    private void retry(String cause) {
        probeWait.sendEnded();
        reservation.release();
        releaseResponse();
        if (eventSplitter != null) {
            eventSplitter.resume();
        }
        context.metrics().count("coltsfootquay_repeats_total");
        log.retried(cause, sends);
        trySend();
    }

    private void abortStream(String cause) {
        caller.abort();
        finish("stream_broken:" + cause, 0);
    }

    private void deadlineReached() {
        if (done) {
            return;
        }
        if (connection != null) {
            log.serverTimedOut(selectedServer.entry().server(), connection.trace());
            context.responseRecorder().deadlineReached(selectedServer, route, sentNanos, firstEventNanos);
        }
        if (streaming) {
            abortStream("timeout");
        } else if (mayHaveExecuted()) {
            sendError(HttpResponseStatus.GATEWAY_TIMEOUT, Optional.empty(), "timeout");
        } else {
            sendError(HttpResponseStatus.SERVICE_UNAVAILABLE, Optional.of(RetryAfter.OVERLOAD), "timeout");
        }
    }

    private void fail(String reason, Duration retryAfter) {
        if (streaming) {
            abortStream(reason);
        } else if (mayHaveExecuted()) {
            sendError(HttpResponseStatus.BAD_GATEWAY, Optional.empty(), reason);
        } else {
            sendError(HttpResponseStatus.SERVICE_UNAVAILABLE, Optional.of(retryAfter), reason);
        }
    }

    private void sendError(HttpResponseStatus status, Optional<Duration> retryAfter, String reason) {
        HttpHeaders errorHeaders = new DefaultHttpHeaders();
        retryAfter.ifPresent(after -> RetryAfter.setHeader(errorHeaders, after));
        caller.sendResponse(status, errorHeaders, ErrorResponseBody.of(reason, !mayHaveExecuted()));
        finish(reason, status.code());
    }

    private void finish(String outcome, int status) {
        done = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
        responseTimer.cancel();
        probeWait.sendEnded();
        if (connection != null) {
            connection.discard();
            connection = null;
        }
        reservation.release();
        releaseResponse();
        hedge.cancel();
        admission.close();
        context.metrics().count("coltsfootquay_requests_total{outcome=\"" + outcome + "\"}");
        log.completed(
                outcome,
                status,
                sends,
                (long) admission.weightedTokens(),
                firstEventNanos == 0 ? Optional.empty() : Optional.of(Duration.ofNanos(firstEventNanos - arrivalNanos)),
                Duration.ofNanos(now() - arrivalNanos));
    }

    private void releaseResponse() {
        if (response != null) {
            response.release();
        }
    }

    private void startResponseTimer() {
        if (route.isRetryable() && sends < route.maxAttempts()) {
            responseTimer.start(selectedServer);
        }
    }

    private void responseTimedOut() {
        if (done || connection == null) {
            return;
        }
        if (hedge.running() || selectServer().isEmpty()) {
            // No other response than those awaited may still come.
            startResponseTimer();
            return;
        }
        if (!tryAcquireRetry()) {
            return;
        }
        log.serverTimedOut(selectedServer.entry().server(), connection.trace());
        context.responseRecorder().timedOut(selectedServer, route, sentNanos);
        hedge.firstGivenUp();
        connection.discard();
        connection = null;
        retry("silent");
    }

    private long now() {
        return context.timers().nowNanos();
    }

    @Override
    public void hedgeSent(ServerName server) {
        sends++;
        unresolvedSends++;
        triedServers.add(server);
    }

    @Override
    public void hedgeNotExecuted() {
        unresolvedSends--;
    }

    @Override
    public void hedgeTakesOver(HedgedSend winner) {
        if (connection != null) {
            connection.discard();
        }
        reservation.release();
        releaseResponse();
        selectedServer = winner.server();
        connection = winner.connection();
        sentConnection = connection;
        reservation = winner.reservation();
        promptParts.sendEnded();
        promptParts = winner.promptParts();
        sentNanos = winner.sentNanos();
        response = new ReceivedResponse(context.responseBudget().open(service.name(), this::responseEvicted));
        startResponseTimer();
    }

    @Override
    public boolean receivesFrom(ServerConnection serverConnection) {
        return connection == serverConnection;
    }
}
