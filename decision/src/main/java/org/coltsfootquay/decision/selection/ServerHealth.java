package org.coltsfootquay.decision.selection;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Health of servers as observed from request outcomes; not thread-safe.
 *
 * <p>A server that cannot be reached is avoided for a short time, which doubles with each consecutive failure up to a
 * maximum. A server that fails some of its requests is penalized in proportion to its failure rate.
 */
public final class ServerHealth {

    /** Time for which a server is avoided after its first failure; about the time that a process needs to restart. */
    private static final Duration INITIAL_AVOIDANCE = Duration.ofMillis(400);

    /** Maximum time for which a server is avoided; bounds how long a recovered server goes unnoticed. */
    private static final Duration MAX_AVOIDANCE = Duration.ofMillis(1600);

    /** Weight of the latest outcome in the moving average of failures: about the last eight requests count. */
    private static final double LATEST_OUTCOME_WEIGHT = 0.12;

    private static final int MAX_DOUBLINGS = 2;

    /** Two connections broken within this time indicate a crash; resets of single connections are further apart. */
    private static final Duration CRASH_WINDOW = Duration.ofMillis(300);

    /** Initial time stamp, before any clock reading; half of the minimum, so that differences do not overflow. */
    private static final long DISTANT_PAST_NANOS = Long.MIN_VALUE / 2;

    private final Map<ServerName, State> states = new HashMap<>();

    /** Creates an instance in which all servers are healthy. */
    public ServerHealth() {
        // A server is added with its first outcome.
    }

    /**
     * Records a response.
     *
     * @param server server
     * @param successful false if the response was a server error or was cut off
     * @param nowNanos current time
     */
    public void recordResponse(ServerName server, boolean successful, long nowNanos) {
        State state = states.computeIfAbsent(server, name -> new State());
        if (successful) {
            state.consecutiveFailures = 0;
            state.avoidUntilNanos = Long.MIN_VALUE;
            if (state.unconfirmed) {
                state.unconfirmed = false;
                state.confirmedNanos = nowNanos;
            }
        }
        state.failureRate += LATEST_OUTCOME_WEIGHT * ((successful ? 0 : 1) - state.failureRate);
    }

    /**
     * Records that a server could not be reached or stopped responding.
     *
     * @param server server
     * @param nowNanos current time
     */
    public void recordUnreachable(ServerName server, long nowNanos) {
        State state = states.computeIfAbsent(server, name -> new State());
        long avoidance = INITIAL_AVOIDANCE.toNanos() << Math.min(MAX_DOUBLINGS, state.consecutiveFailures);
        state.consecutiveFailures++;
        state.avoidUntilNanos = nowNanos + Math.min(avoidance, MAX_AVOIDANCE.toNanos());
        state.unconfirmed = true;
    }

    /**
     * Records that a server closed or reset a connection on which a request was in progress, and that no other
     * connection to it has stayed open.
     *
     * <p>Two such connections within a short time are treated as a crash of the server. A server that resets single
     * connections while others stay open has not crashed.
     *
     * @param server server
     * @param nowNanos current time
     */
    public void recordBrokenConnection(ServerName server, long nowNanos) {
        State state = states.computeIfAbsent(server, name -> new State());
        if (nowNanos - state.brokenNanos < CRASH_WINDOW.toNanos()) {
            recordUnreachable(server, nowNanos);
        }
        state.brokenNanos = nowNanos;
    }

    /**
     * Returns whether a server may be cold because it may have restarted unnoticed.
     *
     * @param server server
     * @param coldDuration time for which a server is cold after its start
     * @param nowNanos current time
     * @return true from the time it was unreachable until {@code coldDuration} after its first successful response
     */
    public boolean mayBeCold(ServerName server, Duration coldDuration, long nowNanos) {
        State state = states.get(server);
        return state != null && (state.unconfirmed || nowNanos - state.confirmedNanos < coldDuration.toNanos());
    }

    /**
     * Returns whether a server should get no requests for now.
     *
     * @param server server
     * @param nowNanos current time
     * @return true if it was unreachable a short time ago
     */
    public boolean isAvoided(ServerName server, long nowNanos) {
        State state = states.get(server);
        return state != null && nowNanos < state.avoidUntilNanos;
    }

    /**
     * Returns the fraction of recent requests that a server failed.
     *
     * @param server server
     * @return rate from 0 to 1
     */
    public double failureRate(ServerName server) {
        State state = states.get(server);
        return state == null ? 0 : state.failureRate;
    }

    /**
     * Removes all observations of a server.
     *
     * @param server server that has restarted or is gone
     */
    public void removeServer(ServerName server) {
        states.remove(server);
    }

    private static final class State {

        private int consecutiveFailures;
        private long avoidUntilNanos = Long.MIN_VALUE;
        private double failureRate;
        private boolean unconfirmed;
        private long confirmedNanos = DISTANT_PAST_NANOS;
        private long brokenNanos = DISTANT_PAST_NANOS;
    }
}
