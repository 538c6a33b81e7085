package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.route.Route;
import org.coltsfootquay.decision.route.RouteKind;
import org.coltsfootquay.decision.route.RoutingConfiguration;
import org.coltsfootquay.decision.route.ServicePolicy;
import org.coltsfootquay.decision.selection.SelectedServer;
import org.coltsfootquay.decision.timer.TimerService.ScheduledTask;

/**
 * One request of a caller from its arrival to its final answer; runs on the event loop.
 *
 * <p>A request whose bytes may have reached a server is sent again only if the route allows it or the server said that
 * it did not run the request. A refusal with status 429 or 503 is sent only while neither can have happened.
 */
final class RequestRelay implements ServerResponseListener {

    /** Time before the end of a request's time at which it gets its final answer: transit to the caller. */
    private static final Duration FINAL_MARGIN = Duration.ofMillis(40);

    /** Shortest silence after which an idempotent request is sent elsewhere: several usual response times. */
    private static final Duration SHORTEST_TRY = Duration.ofMillis(150);

    /** Silence beyond the expected time after which a resumable stream is sent elsewhere. */
    private static final Duration STREAM_PATIENCE = Duration.ofMillis(1500);

    /** Part of the remaining time that the expected wait may take before a request is refused at once. */
    private static final double REFUSE_ABOVE = 0.8;

    /** Attempts to reach a server before a request is refused. */
    private static final int MAX_CONNECT_FAILURES = 4;

    /** A generated token counts as two tokens read; source: the operator's measure of shares. */
    private static final double OUTPUT_WEIGHT = 2;

    /** Workspace of requests on open routes. */
    private static final WorkspaceId NO_WORKSPACE = new WorkspaceId("none");

    private final ForwardingContext context;
    private final CallerResponseWriter caller;
    private final HttpMethod method;
    private final String uri;
    private final HttpHeaders headers;
    private final byte[] body;
    private final RequestMetadata facts;
    private final Route route;
    private final Optional<WorkspaceId> workspace;
    private final ServicePolicy service;
    private final long arrivedNanos;
    private final long expiresNanos;
    private final RelayLog log;
    private final Reservation reservation;
    private final Set<ServerName> tried = new HashSet<>();
    private ScheduledTask expiry;
    private ScheduledTask silence;
    private SelectedServer candidate;
    private ServerConnection connection;
    private HttpResponse answerHead;
    private ResponseMetadata answerFacts;
    private ByteArrayOutputStream answerBody;
    private EventSplitter events;
    private int connectFailures;
    private int sends;
    /** Sends of which no server said that it did not run them. */
    private int unresolvedSends;

    private boolean streaming;
    private boolean done;
    private long firstEventNanos;

    RequestRelay(
            ForwardingContext context,
            CallerResponseWriter caller,
            BufferedRequest request,
            RequestMetadata facts,
            Route route,
            Optional<WorkspaceId> workspace,
            ServicePolicy service,
            long arrivedNanos) {
        this.context = context;
        this.caller = caller;
        this.method = request.method();
        this.uri = request.uri();
        this.headers = request.headers();
        this.body = request.body();
        this.facts = facts;
        this.route = route;
        this.workspace = workspace;
        this.service = service;
        this.arrivedNanos = arrivedNanos;
        this.log = new RelayLog(facts.requestId(), route, workspace);
        this.reservation = new Reservation(context.loads());
        Duration limit = facts.deadline()
                .filter(deadline -> deadline.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
        this.expiresNanos = arrivedNanos + limit.toNanos();
    }

    /** Begins to work on the request. */
    void start() {
        context.retries().recordRequest(service.name(), now());
        context.demands().recordRequested(service.name(), workspace.orElse(NO_WORKSPACE), size(), now());
        long left = Math.max(0, expiresNanos - now() - FINAL_MARGIN.toNanos());
        expiry = context.timers().scheduleOnce("request expiry", Duration.ofNanos(left), this::expire);
        trySend();
    }

    /** The caller has left: the server is told by the end of its connection. */
    void callerDisconnected() {
        if (!done) {
            finish("caller_left", 0);
        }
    }

    /** Resumes reading from the server when the caller has caught up. */
    void callerWritable() {
        if (connection != null) {
            connection.setReadingPaused(false);
        }
    }

    private void trySend() {
        if (done) {
            return;
        }
        Optional<SelectedServer> choice = context.chooser()
                .select(
                        service,
                        facts.prompt(),
                        tried,
                        context.selector(service),
                        context.peers().members(),
                        now());
        if (choice.isEmpty()) {
            giveUp("no_server", RetryAfter.NO_SERVER);
            return;
        }
        candidate = choice.get();
        if (!streaming && !mayHaveRun() && !admitted()) {
            giveUp("no_room", RetryAfter.forQueueTime(candidate.queueTime(), route.target()));
            return;
        }
        reservation.reserve(candidate, facts.prompt());
        BackendEntry target = candidate.entry();
        context.connections().acquire(target, this::send, reason -> notConnected(target, reason));
    }

    /** Tells whether the chosen server has room for the request now. */
    private boolean admitted() {
        long waited = now() - arrivedNanos;
        if (candidate.expectedLatency().toNanos() > (expiresNanos - now()) * REFUSE_ABOVE) {
            return false;
        }
        if (service.cacheTokens() == 0 || route.target().isZero()) {
            return true;
        }
        boolean admits = context.admission()
                .admits(
                        workspace.orElse(NO_WORKSPACE),
                        size(),
                        () -> context.demands().totalDemands(service.name(), now()),
                        candidate.queueTime().plusNanos(waited),
                        route.target());
        if (!admits) {
            log.notAdmitted(candidate);
        }
        return admits;
    }

    /** Returns the size of the request for the comparison of workspaces: tokens read and, twice, tokens generated. */
    private double size() {
        return facts.prompt().tokens() + OUTPUT_WEIGHT * facts.prompt().maxOutputTokens();
    }

    private void notConnected(BackendEntry target, String reason) {
        if (done) {
            return;
        }
        reservation.release();
        context.health().recordUnreachable(target.server(), now());
        context.metrics().count("coltsfootquay_server_connect_failures_total");
        log.unreachable(target.server(), reason);
        connectFailures++;
        if (connectFailures >= MAX_CONNECT_FAILURES) {
            giveUp("unreachable", RetryAfter.NO_SERVER);
        } else {
            trySend();
        }
    }

    private void send(ServerConnection ready) {
        if (done) {
            context.connections().release(ready);
            return;
        }
        long now = now();
        BackendEntry target = candidate.entry();
        if (!context.chooser().tryAcquire(target, service, context.peers().members(), now)) {
            // The server began to leave, or its cold allowance was used, while the connection was made.
            context.connections().release(ready);
            reservation.release();
            connectFailures++;
            if (connectFailures >= MAX_CONNECT_FAILURES) {
                giveUp("no_server", RetryAfter.NO_SERVER);
            } else {
                trySend();
            }
            return;
        }
        connection = ready;
        sends++;
        unresolvedSends++;
        tried.add(target.server());
        answerHead = null;
        Duration remaining = Duration.ofNanos(Math.max(1, expiresNanos - now));
        Optional<String> resumeAfter = events == null ? Optional.empty() : events.lastId();
        ForwardMetadata sendFacts = new ForwardMetadata(target, remaining, workspace, resumeAfter);
        HttpHeaders forServer = context.dialect().serverHeaders(headers, sendFacts);
        context.promptSent(target.server(), facts.prompt());
        if (sends == 1) {
            context.demands().recordDispatched(service.name(), workspace.orElse(NO_WORKSPACE), size(), now);
        }
        log.sent(
                candidate,
                sends,
                context.loads().totalLoad(target.server()).requests(),
                context.configuration().map(RoutingConfiguration::version).orElse(0L));
        watchSilence();
        ready.send(method, uri, forServer, body, facts.requestId(), this);
    }

    @Override
    public void responseStarted(HttpResponse response, ResponseMetadata read) {
        answerHead = response;
        answerFacts = read;
        answerBody = new ByteArrayOutputStream();
        boolean good = response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (good && (!read.signed() || read.contentEncoded())) {
            connection.discard();
            responseFailed("unsigned_answer");
            return;
        }
        if (good && route.kind() == RouteKind.STREAM) {
            cancelSilence();
            if (!streaming) {
                streaming = true;
                events = new EventSplitter();
                caller.startResponse(response.status(), HeaderUtils.copyEndToEnd(response.headers()));
            }
        }
    }

    @Override
    public void bodyReceived(ByteBuf bytes) {
        if (!streaming || answerHead.status().codeClass() != HttpStatusClass.SUCCESS) {
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            answerBody.writeBytes(copy);
            return;
        }
        byte[] whole = events.add(bytes);
        if (whole.length == 0) {
            return;
        }
        if (firstEventNanos == 0) {
            firstEventNanos = now();
            reservation.promptProcessed();
            context.health().recordResponse(candidate.entry().server(), true, firstEventNanos);
            context.metrics()
                    .recordLatency(
                            "coltsfootquay_first_event_seconds{service=\"" + service.name() + "\"}",
                            firstEventNanos - arrivedNanos);
        }
        if (!caller.writeBody(whole)) {
            connection.setReadingPaused(true);
        }
    }

    @Override
    public void responseCompleted() {
        ServerName server = candidate.entry().server();
        connection = null;
        cancelSilence();
        HttpResponseStatus status = answerHead.status();
        if (streaming && status.codeClass() == HttpStatusClass.SUCCESS) {
            byte[] rest = events.takeIncomplete();
            if (rest.length > 0) {
                caller.writeBody(rest);
            }
            caller.endResponse();
            finish("served", status.code());
            return;
        }
        boolean notRun = answerFacts.notExecuted() || status.equals(HttpResponseStatus.MISDIRECTED_REQUEST);
        if (notRun) {
            notExecuted(server, status);
            return;
        }
        boolean failed = status.codeClass() == HttpStatusClass.SERVER_ERROR;
        context.health().recordResponse(server, !failed, now());
        if (failed && mayRepeat()) {
            repeat("server_error");
        } else if (streaming) {
            breakStream("resume_refused");
        } else {
            caller.sendResponse(status, HeaderUtils.copyEndToEnd(answerHead.headers()), answerBody.toByteArray());
            finish("served", status.code());
        }
    }

    @Override
    public void responseFailed(String cause) {
        ServerName server = candidate.entry().server();
        connection = null;
        cancelSilence();
        context.health().recordResponse(server, false, now());
        if ("reset".equals(cause) || "closed".equals(cause)) {
            context.health().recordBrokenConnection(server, now());
        }
        log.responseFailed(server, cause, streaming ? events.lastId() : Optional.empty());
        if (mayRepeat()) {
            repeat(cause);
        } else if (streaming) {
            breakStream(cause);
        } else {
            reply(HttpResponseStatus.BAD_GATEWAY, Optional.empty(), cause);
        }
    }

    private void notExecuted(ServerName server, HttpResponseStatus status) {
        reservation.release();
        unresolvedSends--;
        context.metrics().count("coltsfootquay_server_refusals_total");
        log.serverRefused(server, status.code());
        if (status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
            // Another server has taken the address; connections to it are of no use.
            context.connections().closeIdle(server);
            context.health().recordUnreachable(server, now());
        }
        boolean attemptsLeft = sends < route.maxAttempts() || status.equals(HttpResponseStatus.MISDIRECTED_REQUEST);
        if (attemptsLeft
                && context.retries()
                        .tryAcquire(service.name(), context.peers().members().size(), now())) {
            trySend();
        } else if (streaming) {
            breakStream("resume_refused");
        } else {
            giveUp("server_full", RetryAfter.OVERLOAD);
        }
    }

    private boolean mayHaveRun() {
        return unresolvedSends > 0;
    }

    private boolean mayRepeat() {
        return route.isRetryable()
                && sends < route.maxAttempts()
                && expiresNanos - now() > SHORTEST_TRY.toNanos()
                && (!streaming || events.lastId().isPresent() || firstEventNanos == 0)
                && context.retries()
                        .tryAcquire(service.name(), context.peers().members().size(), now());
    }

    private void repeat(String cause) {
        reservation.release();
        if (events != null) {
            events.takeIncomplete();
        }
        context.metrics().count("coltsfootquay_repeats_total");
        log.retried(cause, sends);
        trySend();
    }

    private void breakStream(String cause) {
        caller.abort();
        finish("stream_broken:" + cause, 0);
    }

    private void expire() {
        if (done) {
            return;
        }
        if (streaming) {
            breakStream("timeout");
        } else if (mayHaveRun()) {
            reply(HttpResponseStatus.GATEWAY_TIMEOUT, Optional.empty(), "timeout");
        } else {
            reply(HttpResponseStatus.SERVICE_UNAVAILABLE, Optional.of(RetryAfter.OVERLOAD), "timeout");
        }
    }

    private void giveUp(String reason, Duration retryAfter) {
        if (streaming) {
            breakStream(reason);
        } else if (mayHaveRun()) {
            reply(HttpResponseStatus.BAD_GATEWAY, Optional.empty(), reason);
        } else {
            reply(HttpResponseStatus.SERVICE_UNAVAILABLE, Optional.of(retryAfter), reason);
        }
    }

    private void reply(HttpResponseStatus status, Optional<Duration> retryAfter, String reason) {
        HttpHeaders replyHeaders = new DefaultHttpHeaders();
        retryAfter.ifPresent(after -> RetryAfter.setHeader(replyHeaders, after));
        caller.sendResponse(status, replyHeaders, ErrorBody.of(reason, !mayHaveRun()));
        finish(reason, status.code());
    }

    private void finish(String outcome, int status) {
        done = true;
        if (expiry != null) {
            expiry.cancel();
        }
        cancelSilence();
        if (connection != null) {
            connection.discard();
            connection = null;
        }
        reservation.release();
        context.metrics().count("coltsfootquay_requests_total{outcome=\"" + outcome + "\"}");
        log.completed(
                outcome,
                status,
                sends,
                firstEventNanos == 0 ? Optional.empty() : Optional.of(Duration.ofNanos(firstEventNanos - arrivedNanos)),
                Duration.ofNanos(now() - arrivedNanos));
    }

    private void watchSilence() {
        if (!route.isRetryable() || sends >= route.maxAttempts()) {
            return;
        }
        Duration patience = route.kind() == RouteKind.STREAM
                ? candidate.expectedLatency().plus(STREAM_PATIENCE)
                : longer(SHORTEST_TRY, route.target());
        silence = context.timers().scheduleOnce("server silence", patience, this::silent);
    }

    private void silent() {
        silence = null;
        if (done || connection == null || !mayRepeat()) {
            return;
        }
        ServerName server = candidate.entry().server();
        log.serverTimedOut(server);
        context.health().recordResponse(server, false, now());
        connection.discard();
        connection = null;
        repeat("silent");
    }

    private void cancelSilence() {
        if (silence != null) {
            silence.cancel();
            silence = null;
        }
    }

    private long now() {
        return context.timers().nowNanos();
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    /** Returns a hash that is stable for the request, for the choice among the services of a route. */
    static long hashOf(RequestMetadata facts) {
        return HashUtils.hash(facts.requestId());
    }
}
