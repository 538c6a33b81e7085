package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Either;
import java.time.Duration;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.notice.PauseParser;
import org.coltsfootquay.decision.notice.ServerNotices;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.metrics.RouterMetrics;

/**
 * Records the notices in the responses of servers: that a server leaves, or that it wants no requests for a time.
 *
 * <p>Only responses that belong to the request in progress are recorded, so that a faulty server cannot speak for
 * another.
 */
final class NoticeRecorder {

    private static final EventLog LOG = EventLog.of(NoticeRecorder.class);

    private static final long MALFORMED_LOG_INTERVAL_NANOS =
            Duration.ofSeconds(1).toNanos();

    private final ServerNotices notices;
    private final PauseParser pauseParser;
    private final ServerConnectionPool connectionPool;
    private final RouterMetrics metrics;
    private final TimerService timers;
    private boolean malformedLogged;
    private long malformedLoggedNanos;

    NoticeRecorder(
            ServerNotices notices,
            PauseParser pauseParser,
            ServerConnectionPool connectionPool,
            RouterMetrics metrics,
            TimerService timers) {
        this.notices = notices;
        this.pauseParser = pauseParser;
        this.connectionPool = connectionPool;
        this.metrics = metrics;
        this.timers = timers;
    }

    /** Records the notices in the head of a response. */
    void responseReceived(BackendEntry server, String requestId, HttpResponse response, ResponseMetadata metadata) {
        if (metadata.leaving() && notices.recordLeaving(server, timers.nowNanos())) {
            count("leaving");
            LOG.info("server_announced_leaving", "request", requestId, "server", server.server());
            connectionPool.closeIdle(server.server());
        }
        String retryAfter = response.headers().get(HttpHeaderNames.RETRY_AFTER);
        if (retryAfter != null && response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            Either<String, Duration> pause = pauseParser.parse(retryAfter);
            if (pause.isRight()) {
                recordPause(server, requestId, pause.get());
            } else {
                logMalformed(server, requestId, pause.getLeft());
            }
        }
    }

    private void recordPause(BackendEntry server, String requestId, Duration pause) {
        if (notices.recordPause(server, pause, timers.nowNanos())) {
            count("pause");
            LOG.info(
                    "server_requested_pause",
                    "request",
                    requestId,
                    "server",
                    server.server(),
                    "pauseMs",
                    pause.toMillis());
        }
    }

    private void logMalformed(BackendEntry server, String requestId, String reason) {
        count("malformed");
        long now = timers.nowNanos();
        if (!malformedLogged || now - malformedLoggedNanos >= MALFORMED_LOG_INTERVAL_NANOS) {
            malformedLogged = true;
            malformedLoggedNanos = now;
            LOG.warn("pause_malformed", "request", requestId, "server", server.server(), "reason", reason);
        }
    }

    private void count(String kind) {
        metrics.count("coltsfootquay_server_notices_total{kind=\"" + kind + "\"}");
    }
}
