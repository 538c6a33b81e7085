package org.coltsfootquay.decision.waiting;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks how often each class of requests is served, so that strict priorities do not starve one; not thread-safe.
 *
 * <p>Handles an overload in which the urgent requests alone fill the servers: the others keep a fraction of the rate at
 * which all requests are served, which is too small for a less urgent class to be served more often than an urgent one.
 */
public final class ClassService {

    /** Fraction of the rate of all requests below which a class goes first. */
    private static final double FLOOR = 0.35;

    /**
     * Factor by which urgent requests may exceed the fair share, and by which others stay below it; the square is below
     * two, so that each workspace keeps half of what another one gets.
     */
    private static final double URGENT_EXCESS = 1.3;

    /** Time constant of the decay of the counters. */
    private static final Duration DECAY_TIME_CONSTANT = Duration.ofSeconds(8);

    /** Requests below which a class has no rate yet. */
    private static final double MIN_REQUESTS = 2;

    private final Map<RequestClass, Counter> counters = new HashMap<>();
    private double requested;
    private double sent;
    private long decayedNanos;

    /**
     * Records a request.
     *
     * @param requestClass class
     * @param nowNanos current time
     */
    public void recordRequested(RequestClass requestClass, long nowNanos) {
        decay(nowNanos);
        requested++;
        counters.computeIfAbsent(requestClass, key -> new Counter()).requested++;
    }

    /**
     * Records that a request was sent to a server.
     *
     * @param requestClass class
     * @param nowNanos current time
     */
    public void recordSent(RequestClass requestClass, long nowNanos) {
        decay(nowNanos);
        sent++;
        counters.computeIfAbsent(requestClass, key -> new Counter()).sent++;
    }

    /**
     * Returns whether a class is served so rarely that it goes before more urgent ones.
     *
     * @param requestClass class
     * @return true if its rate is below the floor
     */
    public boolean isBelowFloor(RequestClass requestClass) {
        Counter counter = counters.get(requestClass);
        return counter != null
                && counter.requested >= MIN_REQUESTS
                && counter.sent * requested < FLOOR * sent * counter.requested;
    }

    /**
     * Returns the factor that applies to what a workspace got when its request is compared with the fair share. Urgent
     * requests then take room from less urgent ones, but not so much that a workspace gets less than half of another.
     *
     * @param requestClass class
     * @return factor; 1 if all recent requests have the same priority
     */
    public double shareFactor(RequestClass requestClass) {
        int mostUrgent = requestClass.priority();
        int leastUrgent = requestClass.priority();
        for (Map.Entry<RequestClass, Counter> entry : counters.entrySet()) {
            if (entry.getValue().requested >= MIN_REQUESTS) {
                mostUrgent = Math.min(mostUrgent, entry.getKey().priority());
                leastUrgent = Math.max(leastUrgent, entry.getKey().priority());
            }
        }
        if (mostUrgent == leastUrgent) {
            return 1;
        }
        return requestClass.priority() == mostUrgent || isBelowFloor(requestClass) ? 1 / URGENT_EXCESS : URGENT_EXCESS;
    }

    private void decay(long nowNanos) {
        long elapsed = nowNanos - decayedNanos;
        if (elapsed <= DECAY_TIME_CONSTANT.toNanos() / 100) {
            return;
        }
        decayedNanos = nowNanos;
        double factor = Math.exp(-(double) elapsed / DECAY_TIME_CONSTANT.toNanos());
        requested *= factor;
        sent *= factor;
        counters.values().forEach(counter -> {
            counter.requested *= factor;
            counter.sent *= factor;
        });
        counters.values().removeIf(counter -> counter.requested < 1.0 / 100);
    }

    private static final class Counter {
        private double requested;
        private double sent;
    }
}
