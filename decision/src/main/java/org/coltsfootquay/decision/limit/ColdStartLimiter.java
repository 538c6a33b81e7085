package org.coltsfootquay.decision.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Limits the rate at which this router sends requests to a cold server, so that all routers together stay within the
 * server's limit.
 *
 * <p>Not thread-safe. Routers need no messages to share the limit: every registered router, reachable or not, counts as
 * a sender. With more routers than the used fraction of the limit has requests per second, only those with the highest
 * hash for the server send to it.
 */
public final class ColdStartLimiter {

    /** Fraction of the limit that is used; the rest covers routers that do not know of a new member yet. */
    private static final double USED_FRACTION = 0.8;

    /** Minimum time between two requests of one router; above 1 s, so that delays do not put two into one second. */
    private static final Duration MIN_SEND_INTERVAL = Duration.ofMillis(1050);

    private final RouterId self;
    private final Map<ServerName, Long> lastSentNanos = new HashMap<>();

    /**
     * Creates a limiter.
     *
     * @param self this router
     */
    public ColdStartLimiter(RouterId self) {
        this.self = ArgumentUtils.requireValue(self, "self");
    }

    /**
     * Returns whether this router may send a request to a cold server now.
     *
     * @param server cold server
     * @param limitPerSecond requests that the server tolerates from all routers together in any interval of one second
     * @param routers all registered routers
     * @param nowNanos current time
     * @return true if it may
     */
    public boolean maySend(ServerName server, double limitPerSecond, List<RouterId> routers, long nowNanos) {
        Long last = lastSentNanos.get(server);
        if (last != null && nowNanos - last < MIN_SEND_INTERVAL.toNanos()) {
            return false;
        }
        int senders = (int) (limitPerSecond * USED_FRACTION);
        if (routers.size() <= senders) {
            return true;
        }
        long ownWeight = weight(server, self);
        long routersAhead = routers.stream()
                .filter(router -> weight(server, router) > ownWeight)
                .count();
        return routersAhead < senders;
    }

    /**
     * Records that a request was sent.
     *
     * @param server server
     * @param nowNanos current time
     */
    public void recordSent(ServerName server, long nowNanos) {
        lastSentNanos.put(server, nowNanos);
    }

    private static long weight(ServerName server, RouterId router) {
        return HashUtils.hash(server.value(), router.value());
    }
}
