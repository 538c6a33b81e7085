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
 * Limits what this router sends to a cold server, so that all routers together stay below the server's bound.
 *
 * <p>Not thread-safe. The bound holds without messages: every registered router, reachable or not, counts as a sender.
 * When there are more routers than the bound has requests, the routers with the highest hash for the server are its
 * only senders.
 */
public final class ColdStartLimiter {

    /** Part of the bound that is used; the rest covers routers that do not know of a new member yet. */
    private static final double USED_PART = 0.8;

    /** Time between two requests of one router; above 1 s, so that a delay does not put two into one second. */
    private static final Duration SPACING = Duration.ofMillis(1050);

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
     * Tells whether this router may send a request to a cold server now.
     *
     * @param server cold server
     * @param boundPerSecond requests that the server tolerates in any second from all routers together
     * @param routers all registered routers
     * @param nowNanos current time
     * @return true if it may
     */
    public boolean maySend(ServerName server, double boundPerSecond, List<RouterId> routers, long nowNanos) {
        Long last = lastSentNanos.get(server);
        if (last != null && nowNanos - last < SPACING.toNanos()) {
            return false;
        }
        int senders = (int) (boundPerSecond * USED_PART);
        if (routers.size() <= senders) {
            return true;
        }
        long own = weight(server, self);
        long ahead =
                routers.stream().filter(router -> weight(server, router) > own).count();
        return ahead < senders;
    }

    /**
     * Notes that a request was sent.
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
