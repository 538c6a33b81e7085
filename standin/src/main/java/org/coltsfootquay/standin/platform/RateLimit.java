package org.coltsfootquay.standin.platform;

import java.util.function.LongSupplier;

/** Token bucket that holds one second of its rate; used on one event loop. */
final class RateLimit {

    private final int perSecond;
    private final LongSupplier nanoClock;
    private double tokens;
    private long lastNanos;

    RateLimit(int perSecond, LongSupplier nanoClock) {
        this.perSecond = perSecond;
        this.nanoClock = nanoClock;
        this.tokens = perSecond;
        this.lastNanos = nanoClock.getAsLong();
    }

    synchronized boolean tryTake() {
        if (perSecond == 0) {
            return true;
        }
        long now = nanoClock.getAsLong();
        tokens = Math.min(perSecond, tokens + (now - lastNanos) * (double) perSecond / 1e9);
        lastNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
