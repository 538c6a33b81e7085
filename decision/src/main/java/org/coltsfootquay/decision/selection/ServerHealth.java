package org.coltsfootquay.decision.selection;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ServerName;

/**
 * What requests reveal about the health of servers; not thread-safe.
 *
 * <p>A server that cannot be reached is avoided for a short time, which doubles with each failure in a row. A server
 * that fails a part of its requests is avoided in proportion to that part.
 */
public final class ServerHealth {

    /** First time for which an unreachable server is avoided; about the time in which a process restarts. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(400);

    /** Longest time for which an unreachable server is avoided; a server that has returned is found again by then. */
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(1600);

    /** Weight of the newest outcome in the failure rate: about the last eight requests count. */
    private static final double NEWEST_WEIGHT = 0.12;

    private static final int MAX_DOUBLINGS = 2;

    /** Time within which two broken connections mean a crash; resets of single connections are further apart. */
    private static final Duration CRASH_WINDOW = Duration.ofMillis(300);

    /** Time before any other, still far enough from the smallest value for differences. */
    private static final long FAR_PAST = Long.MIN_VALUE / 2;

    private final Map<ServerName, State> states = new HashMap<>();

    /** Creates a view in which all servers are healthy. */
    public ServerHealth() {
        // Servers appear with their first outcome.
    }

    /**
     * Notes an answer.
     *
     * @param server server
     * @param good false if the answer was an error of the server or was broken
     * @param nowNanos current time
     */
    public void recordResponse(ServerName server, boolean good, long nowNanos) {
        State state = states.computeIfAbsent(server, name -> new State());
        if (good) {
            state.failuresInRow = 0;
            state.avoidUntilNanos = Long.MIN_VALUE;
            if (state.unproven) {
                state.unproven = false;
                state.provenNanos = nowNanos;
            }
        }
        state.failureRate += NEWEST_WEIGHT * ((good ? 0 : 1) - state.failureRate);
    }

    /**
     * Notes that a server could not be reached or went silent.
     *
     * @param server server
     * @param nowNanos current time
     */
    public void recordUnreachable(ServerName server, long nowNanos) {
        State state = states.computeIfAbsent(server, name -> new State());
        long pause = FIRST_PAUSE.toNanos() << Math.min(MAX_DOUBLINGS, state.failuresInRow);
        state.failuresInRow++;
        state.avoidUntilNanos = nowNanos + Math.min(pause, LONGEST_PAUSE.toNanos());
        state.unproven = true;
    }

    /**
     * Notes that a server broke a connection on which a request was in progress.
     *
     * <p>Two breaks at nearly the same moment are taken for a crash of the server.
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
     * Tells whether a server may have started again without notice, and so may be cold.
     *
     * @param server server
     * @param coldDuration time for which a server is cold after its start
     * @param nowNanos current time
     * @return true from the moment at which it was unreachable until it has answered for that time
     */
    public boolean mayBeCold(ServerName server, Duration coldDuration, long nowNanos) {
        State state = states.get(server);
        return state != null && (state.unproven || nowNanos - state.provenNanos < coldDuration.toNanos());
    }

    /**
     * Tells whether a server should get no requests for now.
     *
     * @param server server
     * @param nowNanos current time
     * @return true if it was unreachable a moment ago
     */
    public boolean isAvoided(ServerName server, long nowNanos) {
        State state = states.get(server);
        return state != null && nowNanos < state.avoidUntilNanos;
    }

    /**
     * Returns the part of recent requests that a server failed.
     *
     * @param server server
     * @return rate from 0 to 1
     */
    public double failureRate(ServerName server) {
        State state = states.get(server);
        return state == null ? 0 : state.failureRate;
    }

    /**
     * Forgets a server.
     *
     * @param server server that has started again or is gone
     */
    public void removeServer(ServerName server) {
        states.remove(server);
    }

    private static final class State {

        private int failuresInRow;
        private long avoidUntilNanos = Long.MIN_VALUE;
        private double failureRate;
        private boolean unproven;
        private long provenNanos = FAR_PAST;
        private long brokenNanos = FAR_PAST;
    }
}
