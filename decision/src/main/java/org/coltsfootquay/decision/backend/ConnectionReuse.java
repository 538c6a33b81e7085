package org.coltsfootquay.decision.backend;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Decides whether a connection to a backend server may carry another request; not thread-safe.
 *
 * <p>A server that has sent bytes which no request asked for may do so again, before the response to the next request
 * of the same connection. For a time, its connections carry one request each. The time doubles if the server does it
 * again after the time has ended, and belongs to one incarnation of the server.
 */
public final class ConnectionReuse {

    /** Time without reuse after the first evidence. */
    static final Duration MIN_PAUSE = Duration.ofSeconds(10);

    /** Longest time without reuse, and the time without evidence after which a server is forgotten. */
    static final Duration MAX_PAUSE = Duration.ofMinutes(5);

    /** Maximum number of servers; above the number of servers that one fleet uses. */
    private static final int MAX_SERVERS = 8192;

    /** Records by server, least recently added first. */
    private final Map<ServerName, Pause> pauses = new LinkedHashMap<>();

    /** Creates a policy that permits reuse for all servers. */
    public ConnectionReuse() {
        // Servers are added as they send unsolicited bytes.
    }

    /**
     * Records that a server has sent bytes that belong to no request in progress.
     *
     * @param server server
     * @param nowNanos current time
     * @return false if its connections were not reused before either
     */
    public boolean recordUnsolicited(BackendEntry server, long nowNanos) {
        Pause before = find(server, nowNanos);
        boolean paused = before != null && before.isActive(nowNanos);
        long lengthNanos = MIN_PAUSE.toNanos();
        if (before != null) {
            lengthNanos = paused ? before.lengthNanos : Math.min(2 * before.lengthNanos, MAX_PAUSE.toNanos());
        }
        pauses.remove(server.server());
        pauses.put(server.server(), new Pause(server.startedMillis(), lengthNanos, nowNanos + lengthNanos));
        if (pauses.size() > MAX_SERVERS) {
            pauses.remove(pauses.keySet().iterator().next());
        }
        return !paused;
    }

    /**
     * Returns whether a connection may carry another request.
     *
     * @param server server of the connection
     * @param nowNanos current time
     * @return false if the server has sent unsolicited bytes recently
     */
    public boolean isPermitted(BackendEntry server, long nowNanos) {
        Pause pause = find(server, nowNanos);
        return pause == null || !pause.isActive(nowNanos);
    }

    /**
     * Forgets servers that have sent no unsolicited bytes for a long time.
     *
     * @param nowNanos current time
     */
    public void removeExpired(long nowNanos) {
        pauses.values().removeIf(pause -> pause.isForgotten(nowNanos));
    }

    /**
     * Returns the number of servers that are remembered.
     *
     * @return number
     */
    public int size() {
        return pauses.size();
    }

    private Pause find(BackendEntry server, long nowNanos) {
        Pause pause = pauses.get(server.server());
        return pause == null || pause.startedMillis != server.startedMillis() || pause.isForgotten(nowNanos)
                ? null
                : pause;
    }

    private record Pause(long startedMillis, long lengthNanos, long endNanos) {

        private boolean isActive(long nowNanos) {
            return nowNanos - endNanos < 0;
        }

        private boolean isForgotten(long nowNanos) {
            return nowNanos - endNanos >= MAX_PAUSE.toNanos();
        }
    }
}
