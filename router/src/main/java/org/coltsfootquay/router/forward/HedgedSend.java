package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.hedge.HedgePolicy;
import org.coltsfootquay.decision.memory.HeldBytes;
import org.coltsfootquay.decision.route.Route;
import org.coltsfootquay.decision.route.RouteKind;
import org.coltsfootquay.decision.route.ServicePolicy;
import org.coltsfootquay.decision.selection.SelectedServer;
import org.coltsfootquay.decision.timer.TimerService.ScheduledTask;

/**
 * Second send of a request whose response has not begun when it is later than usual; runs on the event loop.
 *
 * <p>What the second server sends is kept until it wins: with the first complete event of a stream, or with a complete
 * successful response. Then, or if the first server fails before, the relay takes over this send, and gets everything
 * that was received so far. Otherwise the connection is closed, which tells the server to stop work.
 */
final class HedgedSend implements ServerResponseListener {

    /** Factor on the expected latency after which the first event of a hedge is overdue. */
    private static final double OVERDUE_FACTOR = 1.4;

    /** Relay that a hedge belongs to; receives the response if the hedge takes over. */
    interface Owner extends ServerResponseListener {

        /** Called when the request is sent to a second server. */
        void hedgeSent(ServerName server);

        /** Called when the second server states that it did not execute the request. */
        void hedgeNotExecuted();

        /** Replaces the current send by the hedge; the events of its response follow. */
        void hedgeTakesOver(HedgedSend hedge);

        /** Returns whether the owner awaits events of a connection. */
        boolean receivesFrom(ServerConnection connection);
    }

    private enum State {
        IDLE,
        SCHEDULED,
        CONNECTING,
        RUNNING,
        TAKEN_OVER,
        ENDED
    }

    private final ForwardingContext context;
    private final Owner owner;
    private final RelayedRequest relayed;
    private final BufferedRequest request;
    private final RequestMetadata requestMetadata;
    private final Route route;
    private final Optional<WorkspaceId> workspace;
    private final ServicePolicy service;
    private final long deadlineNanos;
    private final RelayLog log;
    private final RequestAdmission admission;
    private final Set<ServerName> triedServers;
    private final Reservation reservation;
    private final PromptPartTracker promptParts;
    private final EventSplitter events = new EventSplitter();
    private State state = State.IDLE;
    private ScheduledTask timer;
    private SelectedServer first;
    private long firstSentNanos;
    private SelectedServer server;
    private ServerConnection connection;
    private long sentNanos;
    private HeldBytes held;
    private BodyBuffer body;
    private HttpResponse head;
    private ResponseMetadata metadata;

    /**
     * Creates a hedge that is not scheduled.
     *
     * @param triedServers servers that the request was sent to, updated by the owner
     */
    HedgedSend(
            ForwardingContext context,
            Owner owner,
            RelayedRequest relayed,
            RelayLog log,
            RequestAdmission admission,
            Set<ServerName> triedServers) {
        this.context = context;
        this.owner = owner;
        this.relayed = relayed;
        this.request = relayed.request();
        this.requestMetadata = relayed.metadata();
        this.route = relayed.route();
        this.workspace = relayed.workspace();
        this.service = relayed.service();
        this.deadlineNanos = relayed.deadlineNanos();
        this.log = log;
        this.admission = admission;
        this.triedServers = triedServers;
        this.reservation = new Reservation(context.loads());
        this.promptParts =
                new PromptPartTracker(context.quarantine(), context.timers(), service.name(), requestMetadata);
    }

    SelectedServer server() {
        return server;
    }

    ServerConnection connection() {
        return connection;
    }

    Reservation reservation() {
        return reservation;
    }

    PromptPartTracker promptParts() {
        return promptParts;
    }

    long sentNanos() {
        return sentNanos;
    }

    /** Schedules the hedge when the request is sent for the first time; cancels it with any other send of the owner. */
    void ownerSent(SelectedServer selectedServer, int sends) {
        if (state != State.IDLE) {
            cancel();
            return;
        }
        Optional<HedgePolicy> policy = context.hedging();
        if (policy.isEmpty() || sends > 1) {
            return;
        }
        first = selectedServer;
        firstSentNanos = now();
        policy.get().recordRequest(service.name(), first.prefillTokens());
        if (route.isRetryable() && sends < route.maxAttempts()) {
            policy.get().delay(service.name(), first.prefillTokens()).ifPresent(delay -> {
                state = State.SCHEDULED;
                timer = context.timers().scheduleOnce("hedge", delay, this::late);
            });
        }
    }

    /** Records that the response of the first server has begun; if a part of it was passed on, it has won. */
    void firstBegan(boolean passedOn) {
        if (state == State.SCHEDULED || state == State.CONNECTING || (state == State.RUNNING && passedOn)) {
            cancel();
        }
    }

    /** Drops the hedge because the first server is given up and the request is sent elsewhere. */
    void firstGivenUp() {
        firstAnswered();
        cancel();
    }

    /** Records the time to the answer of the first server, or to the moment at which it was given up. */
    void firstAnswered() {
        if (first != null && state != State.TAKEN_OVER) {
            recordFirstTime();
        }
    }

    /** Returns whether a second server is working on the request. */
    boolean running() {
        return state == State.RUNNING;
    }

    /** Lets the hedge go on alone after the first server has failed; returns false if none is running. */
    boolean takeOver() {
        if (state != State.RUNNING) {
            cancel();
            return false;
        }
        first = null;
        handOver();
        return true;
    }

    /** Ends the hedge unless it has taken over; its server learns of it by the closed connection. */
    void cancel() {
        if (state == State.RUNNING) {
            connection.discard();
            end("lost");
        } else if (state != State.TAKEN_OVER) {
            if (timer != null) {
                timer.cancel();
            }
            reservation.release();
            state = State.ENDED;
        }
    }

    private void late() {
        Optional<SelectedServer> choice = HedgeDecision.decide(context, relayed, triedServers, !promptParts.mayHedge());
        if (choice.isEmpty()) {
            state = State.ENDED;
            return;
        }
        server = choice.get();
        state = State.CONNECTING;
        reservation.reserve(server, requestMetadata.prompt());
        context.connectionPool()
                .acquire(
                        server.entry(),
                        opened -> context.freshness().runWhenFresh(() -> send(opened)),
                        reason -> connectFailed());
    }

    private void connectFailed() {
        if (state == State.CONNECTING) {
            context.health().recordUnreachable(server.entry().server(), now());
            cancel();
        }
    }

    private void send(ServerConnection opened) {
        BackendEntry target = server.entry();
        if (state != State.CONNECTING) {
            context.connectionPool().release(opened);
            return;
        }
        if (!opened.isOpen()
                || !promptParts.mayHedge()
                || !context.eligibleServerSelector()
                        .tryAcquire(target, service, context.peers().members(), now())) {
            context.connectionPool().release(opened);
            cancel();
            return;
        }
        state = State.RUNNING;
        connection = opened;
        sentNanos = now();
        held = context.responseBudget().open(service.name(), this::evicted);
        body = new BodyBuffer(0);
        promptParts.sent();
        owner.hedgeSent(target.server());
        admission.recordHedge();
        context.awaitFirstEvent(
                reservation, sentNanos + (long) (server.expectedLatency().toNanos() * OVERDUE_FACTOR));
        context.promptSent(target.server(), requestMetadata.prompt(), server.prefillTokens());
        context.metrics().count("coltsfootquay_hedges_sent_total{service=\"" + service.name() + "\"}");
        context.metrics()
                .counter("coltsfootquay_hedge_work_total{service=\"" + service.name() + "\"}")
                .inc((long) HedgePolicy.work(server.prefillTokens()));
        log.hedged(target.server(), Duration.ofNanos(sentNanos - firstSentNanos), server.prefillTokens());
        Duration remaining = Duration.ofNanos(Math.max(1, deadlineNanos - sentNanos));
        HttpHeaders headers = context.dialect()
                .serverHeaders(request.headers(), new ForwardMetadata(target, remaining, workspace, Optional.empty()));
        opened.send(request.method(), request.uri(), headers, request.body(), requestMetadata.requestId(), this);
    }

    @Override
    public void headBytesReceived(int bytes) {
        if (state == State.TAKEN_OVER) {
            owner.headBytesReceived(bytes);
        } else if (!held.resize(bytes)) {
            evicted();
        }
    }

    @Override
    public void responseStarted(HttpResponse receivedHead, ResponseMetadata receivedMetadata) {
        if (state == State.TAKEN_OVER) {
            owner.responseStarted(receivedHead, receivedMetadata);
            return;
        }
        head = receivedHead;
        metadata = receivedMetadata;
        if (successful() && (!metadata.signed() || metadata.contentEncoded())) {
            connection.discard();
            responseFailed("unsigned_answer");
        }
    }

    @Override
    public void bodyReceived(ByteBuf bytes) {
        if (state == State.TAKEN_OVER) {
            owner.bodyReceived(bytes);
            return;
        }
        int size = bytes.readableBytes();
        if (body.size() + size > context.connectionPool().responseLimits().bodyBytes()
                || !held.resize(body.capacityWith(size))) {
            evicted();
            return;
        }
        body.add(bytes.duplicate());
        if (route.kind() == RouteKind.STREAM && successful() && events.add(bytes.duplicate()).length > 0) {
            win();
        }
    }

    @Override
    public void responseCompleted() {
        if (state == State.TAKEN_OVER) {
            owner.responseCompleted();
            return;
        }
        ResponseOutcome outcome = ResponseOutcome.of(head.status(), metadata);
        if (route.kind() != RouteKind.STREAM && successful() && !HeaderUtils.endsWithConnection(head)) {
            win();
            if (owner.receivesFrom(connection)) {
                owner.responseCompleted();
            }
            return;
        }
        if (outcome == ResponseOutcome.NOT_EXECUTED) {
            owner.hedgeNotExecuted();
            context.metrics().count("coltsfootquay_server_refusals_total");
        } else if (outcome == ResponseOutcome.SERVER_ERROR) {
            context.health().recordResponse(server.entry().server(), false, now());
        }
        end("failed");
    }

    @Override
    public void responseFailed(String cause) {
        if (state == State.TAKEN_OVER) {
            owner.responseFailed(cause);
            return;
        }
        context.health().recordResponse(server.entry().server(), false, now());
        context.crashDetector().responseFailed(cause, server.entry(), promptParts.unansweredParts(), () -> {});
        end("failed");
    }

    /** Replaces the first send, whose time until now is a lower bound of what its answer would have taken. */
    private void win() {
        recordFirstTime();
        context.metrics().count("coltsfootquay_hedges_ended_total{outcome=\"won\"}");
        log.hedgeEnded(server.entry().server(), "won", Duration.ofNanos(now() - sentNanos));
        handOver();
    }

    private void handOver() {
        state = State.TAKEN_OVER;
        held.release();
        owner.hedgeTakesOver(this);
        if (head != null) {
            owner.responseStarted(head, metadata);
        }
        if (body.size() > 0 && owner.receivesFrom(connection)) {
            owner.bodyReceived(Unpooled.wrappedBuffer(body.toByteArray()));
        }
        body = null;
    }

    private boolean successful() {
        return head.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    private void recordFirstTime() {
        if (first != null) {
            Duration time = Duration.ofNanos(now() - firstSentNanos);
            context.hedging().ifPresent(policy -> policy.recordAnswer(service.name(), first.prefillTokens(), time));
            first = null;
        }
    }

    /** Gives up the hedge because its response finds no room. */
    private void evicted() {
        if (state == State.RUNNING) {
            cancel();
        }
    }

    private void end(String outcome) {
        state = State.ENDED;
        reservation.release();
        held.release();
        context.metrics().count("coltsfootquay_hedges_ended_total{outcome=\"" + outcome + "\"}");
        log.hedgeEnded(server.entry().server(), outcome, Duration.ofNanos(now() - sentNanos));
    }

    private long now() {
        return context.timers().nowNanos();
    }
}
