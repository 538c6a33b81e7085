package org.coltsfootquay.decision.waiting;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * What waits at the other routers by their last reports; not thread-safe.
 *
 * <p>A report counts for a limited time only, so that a router that was killed, or is out of reach, holds no part of
 * the places for long.
 */
public final class PeerQueues {

    /** Time for which a report counts; two beacons of a large fleet and their delay. */
    static final Duration MAX_AGE = Duration.ofMillis(2_500);

    private final Map<RouterId, Report> reports = new HashMap<>();

    /**
     * Replaces the report of a router.
     *
     * @param peer router
     * @param tokens weighted tokens that wait at it, by service
     * @param nowNanos current time
     */
    public void replaceReport(RouterId peer, Map<ServiceName, Double> tokens, long nowNanos) {
        if (tokens.isEmpty()) {
            reports.remove(peer);
        } else {
            reports.put(peer, new Report(Map.copyOf(tokens), nowNanos));
        }
    }

    /**
     * Returns the tokens that wait at all other routers for a service.
     *
     * @param service service
     * @param nowNanos current time
     * @return tokens
     */
    public double tokens(ServiceName service, long nowNanos) {
        reports.values().removeIf(report -> nowNanos - report.receivedNanos > MAX_AGE.toNanos());
        double total = 0;
        for (Report report : reports.values()) {
            total += report.tokens.getOrDefault(service, 0.0);
        }
        return total;
    }

    private record Report(Map<ServiceName, Double> tokens, long receivedNanos) {}
}
