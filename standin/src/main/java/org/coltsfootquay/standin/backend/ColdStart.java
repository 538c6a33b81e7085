package org.coltsfootquay.standin.backend;

import org.coltsfootquay.standin.fault.Counters;

/**
 * Cold start of a backend server; used on one event loop.
 *
 * <p>While cold, the server bears a number of requests in flight that grows with each completed request. The counters
 * {@code coldPeakInFlight} (most requests offered at once while cold), {@code coldExceeded} (arrivals beyond what was
 * bearable) and {@code coldStarts} let a test check the ramp of the routers.
 */
public final class ColdStart {

    private final long coldNanos;
    private final int bearable;
    private final int growth;
    private final Counters counters;
    private long sinceNanos;
    private long completed;
    private boolean started;

    /**
     * Creates the state of a server that has not started yet.
     *
     * @param coldMillis time for which the server is cold, in milliseconds
     * @param bearable requests in flight that the server bears at first
     * @param growth number by which {@code bearable} grows with each completed request
     * @param counters counters to raise
     */
    public ColdStart(long coldMillis, int bearable, int growth, Counters counters) {
        this.coldNanos = coldMillis * 1_000_000;
        this.bearable = bearable;
        this.growth = growth;
        this.counters = counters;
    }

    /**
     * Makes the server cold.
     *
     * @param nowNanos time
     */
    public void begin(long nowNanos) {
        sinceNanos = nowNanos;
        completed = 0;
        started = true;
        if (coldNanos > 0) {
            counters.increment("coldStarts");
        }
    }

    /**
     * Returns whether the server was cold at a time.
     *
     * @param atNanos time, now or earlier
     * @return whether it was cold
     */
    public boolean cold(long atNanos) {
        return started && atNanos - sinceNanos >= 0 && atNanos - sinceNanos < coldNanos;
    }

    /**
     * Returns the number of requests in flight that the server bears while cold.
     *
     * @return number of requests
     */
    public long bearable() {
        return bearable + completed * growth;
    }

    /** Notes that a request was completed. */
    public void completed() {
        completed++;
    }

    /**
     * Decides whether a request can be borne and counts what was offered.
     *
     * @param inFlight requests in flight, this one included
     * @param nowNanos time
     * @return whether the server bears it
     */
    public boolean bears(int inFlight, long nowNanos) {
        if (!cold(nowNanos)) {
            return true;
        }
        counters.raise("coldPeakInFlight", inFlight);
        if (inFlight <= bearable()) {
            return true;
        }
        counters.increment("coldExceeded");
        return false;
    }
}
