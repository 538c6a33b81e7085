package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.quarantine.CrashReport;
import org.coltsfootquay.decision.quarantine.PartQuarantine;
import org.coltsfootquay.decision.quarantine.UnansweredPart;
import org.coltsfootquay.decision.selection.ServerHealth;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.metrics.RouterMetrics;

/**
 * Tells the crash of a server from single broken connections, and reports which prompts the server may have been
 * processing; runs on the event loop.
 *
 * <p>A server has crashed if no connection of this router to it is left once all closures are processed. If the pool
 * keeps no connections to the server, none may be left for that reason, so a new one shows whether it has crashed.
 */
final class CrashDetector {

    private static final EventLog LOG = EventLog.of(CrashDetector.class);

    /** Time after a broken connection in which the closures of the others arrive if their server has crashed. */
    private static final Duration CHECK_DELAY = Duration.ofMillis(10);

    private final ServerConnectionPool connectionPool;
    private final ServerHealth health;
    private final PartQuarantine quarantine;
    private final TimerService timers;
    private final RouterMetrics metrics;
    private final Map<ServerName, List<BrokenConnection>> unchecked = new HashMap<>();

    CrashDetector(
            ServerConnectionPool connectionPool,
            ServerHealth health,
            PartQuarantine quarantine,
            TimerService timers,
            RouterMetrics metrics) {
        this.connectionPool = connectionPool;
        this.health = health;
        this.quarantine = quarantine;
        this.timers = timers;
        this.metrics = metrics;
    }

    /**
     * Returns whether the crash of a server may be the cause of a failed response.
     *
     * @param cause cause of the failure
     */
    static boolean isCrash(String cause) {
        return "reset".equals(cause) || "closed".equals(cause);
    }

    /**
     * Records that a response has failed.
     *
     * @param cause cause of the failure
     * @param server server
     * @param parts prompt parts of the request if the server had not begun to answer it
     * @param next runs now, or if parts may have crashed the server, when it is known whether it has crashed
     */
    void responseFailed(String cause, BackendEntry server, List<UnansweredPart> parts, Runnable next) {
        if (isCrash(cause) && !parts.isEmpty()) {
            connectionBroken(server, parts, next);
            return;
        }
        if (isCrash(cause)) {
            connectionBroken(server, parts, () -> {});
        }
        next.run();
    }

    /**
     * Records that a server closed or reset a connection during a request.
     *
     * @param server server
     * @param parts prompt parts of the request if the server had not begun to answer it
     * @param afterCheck runs when it is known whether the server has crashed
     */
    void connectionBroken(BackendEntry server, List<UnansweredPart> parts, Runnable afterCheck) {
        BrokenConnection broken = new BrokenConnection(server, parts, timers.nowNanos(), afterCheck);
        unchecked.computeIfAbsent(server.server(), name -> new ArrayList<>()).add(broken);
        var unused = timers.scheduleOnce("crash check", CHECK_DELAY, () -> check(broken));
    }

    /**
     * Finds out whether a server is alive after a connection to it has ended in order, which the end of its process
     * also causes.
     *
     * @param server server
     * @param result receives true if the server still holds or accepts connections
     */
    void checkAlive(BackendEntry server, Consumer<Boolean> result) {
        var unused = timers.scheduleOnce("crash check", CHECK_DELAY, () -> {
            if (connectionPool.openCount(server.server()) > 0) {
                result.accept(true);
            } else {
                connect(server, result);
            }
        });
    }

    private void connect(BackendEntry server, Consumer<Boolean> result) {
        connectionPool.acquire(
                server,
                connection -> {
                    connectionPool.release(connection);
                    result.accept(true);
                },
                reason -> result.accept(false));
    }

    private void check(BrokenConnection broken) {
        ServerName server = broken.server.server();
        List<BrokenConnection> others = unchecked.getOrDefault(server, List.of());
        if (!others.contains(broken)) {
            return;
        }
        if (connectionPool.openCount(server) > 0) {
            serverAlive(broken);
        } else if (connectionPool.keepsConnections(broken.server)) {
            serverCrashed(broken);
        } else {
            connect(broken.server, alive -> {
                if (alive) {
                    serverAlive(broken);
                } else {
                    serverCrashed(broken);
                }
            });
        }
    }

    private void serverAlive(BrokenConnection broken) {
        List<BrokenConnection> others = unchecked.get(broken.server.server());
        if (others != null && others.remove(broken)) {
            broken.afterCheck.run();
        }
    }

    private void serverCrashed(BrokenConnection broken) {
        ServerName server = broken.server.server();
        List<BrokenConnection> others = unchecked.getOrDefault(server, List.of());
        if (!others.contains(broken)) {
            return;
        }
        unchecked.remove(server);
        List<UnansweredPart> parts = new ArrayList<>();
        for (BrokenConnection other : others) {
            health.recordBrokenConnection(server, other.brokenNanos);
            parts.addAll(other.parts);
        }
        CrashReport report = new CrashReport(server, broken.server.startedMillis(), parts);
        metrics.count("coltsfootquay_server_crashes_total");
        LOG.warn(
                "server_crashed",
                "server",
                server,
                "startedMillis",
                broken.server.startedMillis(),
                "requests",
                others.size(),
                "parts",
                report.partKeys());
        quarantine.recordCrash(report, broken.brokenNanos);
        others.forEach(other -> other.afterCheck.run());
    }

    private record BrokenConnection(
            BackendEntry server, List<UnansweredPart> parts, long brokenNanos, Runnable afterCheck) {}
}
