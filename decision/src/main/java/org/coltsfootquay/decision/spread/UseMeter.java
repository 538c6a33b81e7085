package org.coltsfootquay.decision.spread;

import java.time.Duration;
import org.coltsfootquay.decision.peer.RouterUse;

/**
 * Combines the use of a router's resources into one figure: the resource that is nearest to its limit; not thread-safe.
 *
 * <p>Each share is averaged over about a second, so that a garbage collection or a burst of a fraction of a second does
 * not move callers.
 */
public final class UseMeter {

    /** Time constant of the averages. */
    private static final Duration AVERAGING_TIME = Duration.ofSeconds(1);

    private double processor;
    private double eventLoop;
    private double descriptors;
    private double memory;
    private double requestsPerSecond;
    private long requests;
    private long lastNanos;

    /**
     * Creates a meter without readings.
     *
     * @param nowNanos current time
     */
    public UseMeter(long nowNanos) {
        this.lastNanos = nowNanos;
    }

    /** Counts a request of a caller. */
    public void requestReceived() {
        requests++;
    }

    /**
     * Records a reading, which counts for the time since the previous one.
     *
     * @param reading shares in use
     * @param nowNanos current time
     */
    public void record(ResourceReading reading, long nowNanos) {
        long elapsedNanos = nowNanos - lastNanos;
        if (elapsedNanos <= 0) {
            return;
        }
        double part = -Math.expm1(-(double) elapsedNanos / AVERAGING_TIME.toNanos());
        processor += part * (reading.processor() - processor);
        eventLoop += part * (reading.eventLoop() - eventLoop);
        descriptors += part * (reading.descriptors() - descriptors);
        memory += part * (reading.memory() - memory);
        double rate = requests / (elapsedNanos / (double) Duration.ofSeconds(1).toNanos());
        requestsPerSecond += part * (rate - requestsPerSecond);
        requests = 0;
        lastNanos = nowNanos;
    }

    /**
     * Returns the current use.
     *
     * @return use, at least 1 permille
     */
    public RouterUse use() {
        double highest = Math.max(Math.max(processor, eventLoop), Math.max(descriptors, memory));
        return new RouterUse(
                (int) Math.max(1, Math.round(highest * RouterUse.MAX_PERMILLE)), (int) Math.round(requestsPerSecond));
    }
}
