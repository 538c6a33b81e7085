package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.latency.FirstEventObservation;
import org.coltsfootquay.decision.rollout.CountKey;
import org.coltsfootquay.decision.route.Route;
import org.coltsfootquay.decision.route.ServicePolicy;
import org.coltsfootquay.decision.selection.SelectedServer;

/** Records how servers answer, for the selection of servers and for roll-outs; used on one event loop. */
final class ResponseRecorder {

    /** Unit of latencies in roll-outs; a fraction of the shortest usual latency. */
    private static final long LATENCY_UNIT_NANOS = Duration.ofMillis(1).toNanos() / 4;

    /** Tokens that a latency refers to, so that a longer prompt or an empty cache is not taken for a slow server. */
    private static final long REFERENCE_TOKENS = 1000;

    private final ForwardingContext context;

    ResponseRecorder(ForwardingContext context) {
        this.context = context;
    }

    /** Records that a server has turned a request away. */
    void refused(ServerName server, HttpResponseStatus status) {
        context.metrics().count("coltsfootquay_server_refusals_total");
        if (status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
            // Another server now uses the address, so existing connections to it are useless.
            context.connectionPool().closeIdle(server);
            context.health().recordUnreachable(server, context.timers().nowNanos());
        }
    }

    /** Records the first event of a stream. */
    void firstEvent(SelectedServer server, Route route, ServicePolicy service, long arrivalNanos, long sentNanos) {
        long now = context.timers().nowNanos();
        if (service.cacheTokens() > 0 && !server.queuedForSlot()) {
            context.recordFirstEvent(new FirstEventObservation(
                    server.entry().server(),
                    server.waitingTokens(),
                    server.prefillTokens(),
                    Duration.ofNanos(now - sentNanos)));
        }
        context.metrics()
                .recordLatency(
                        "coltsfootquay_first_event_seconds{service=\"" + service.name() + "\"}", now - arrivalNanos);
        context.health().recordResponse(server.entry().server(), true, now);
        context.notices().recordServed(server.entry(), now);
        count(server, route.name(), false, sentNanos);
    }

    /** Records the end of a stream that was sent to one server only. */
    void streamCompleted(SelectedServer server, Route route, long firstEventNanos) {
        long runNanos = context.timers().nowNanos() - firstEventNanos;
        context.latencyModel().recordRunTime(server.entry().server(), Duration.ofNanos(runNanos));
        count(server.entry(), CountKey.runOf(route.name()), false, runNanos, firstEventNanos);
    }

    /** Records a complete response that is not a stream in progress. */
    void completed(SelectedServer server, Route route, boolean failed, long sentNanos) {
        long now = context.timers().nowNanos();
        if (!failed) {
            context.health().recordResponse(server.entry().server(), true, now);
            context.notices().recordServed(server.entry(), now);
        } else if (context.notices().remainingPause(server.entry(), now).isZero()) {
            // A server that asked for a pause is not unhealthy.
            context.health().recordResponse(server.entry().server(), false, now);
        }
        count(server, route.name(), failed, sentNanos);
    }

    /** Records a response that ended early; a crash before any response says nothing about the version. */
    void broken(SelectedServer server, Route route, boolean ofVersion) {
        context.health()
                .recordResponse(server.entry().server(), false, context.timers().nowNanos());
        if (ofVersion) {
            count(server, route.name(), true, 0);
        }
    }

    /** Records that a request was given up and is sent elsewhere. */
    void timedOut(SelectedServer server, Route route, long sentNanos) {
        context.health()
                .recordResponse(server.entry().server(), false, context.timers().nowNanos());
        count(server, route.name(), false, sentNanos);
    }

    /** Records that a request has reached its deadline; the elapsed time is the least that the response takes. */
    void deadlineReached(SelectedServer server, Route route, long sentNanos, long firstEventNanos) {
        if (firstEventNanos == 0) {
            count(server, route.name(), false, sentNanos);
        }
    }

    private void count(SelectedServer server, String route, boolean failed, long sentNanos) {
        long nanos = context.timers().nowNanos() - sentNanos;
        long tokens = server.prefillTokens() + server.waitingTokens();
        count(server.entry(), route, failed, nanos * REFERENCE_TOKENS / (REFERENCE_TOKENS + tokens), sentNanos);
    }

    private void count(BackendEntry entry, String route, boolean failed, long nanos, long sinceNanos) {
        boolean cold = sinceNanos < context.registry().coldUntilNanos(entry.server());
        long latency = cold ? 0 : 1 + nanos / LATENCY_UNIT_NANOS;
        context.rollouts().ifPresent(rollouts -> rollouts.recordResponse(entry, route, failed, latency));
    }
}
