package org.coltsfootquay.standin.application;

import org.coltsfootquay.standin.settings.RangeCheck;

/**
 * Settings of an application server stand-in.
 *
 * @param serviceMillis service time up to the capacity, in milliseconds
 * @param capacity number of requests in flight above which the service time grows with the load
 * @param collapseAt number of requests in flight at which the server answers 500 without running the request
 * @param loadLagMillis age of the load report, in milliseconds
 * @param coldMillis time for which the server is cold after a start, in milliseconds; 0 starts warm
 * @param coldBearable number of requests in flight that the server can bear right after a start
 * @param coldGrowth number by which {@code coldBearable} grows with each request completed while cold
 * @param coldSlowdown factor on the service time while cold
 * @param checksFencing whether old fencing numbers are refused
 */
public record ApplicationSettings(
        double serviceMillis,
        int capacity,
        int collapseAt,
        long loadLagMillis,
        long coldMillis,
        int coldBearable,
        int coldGrowth,
        double coldSlowdown,
        boolean checksFencing) {

    private static final int MAX_REQUESTS = 100_000;
    private static final long MAX_MILLIS = 3_600_000;

    /** Checks the ranges. */
    public ApplicationSettings {
        new RangeCheck()
                .range("serviceMillis", serviceMillis, 0, MAX_MILLIS)
                .range("capacity", capacity, 1, MAX_REQUESTS)
                .range("collapseAt", collapseAt, capacity + 1.0, MAX_REQUESTS)
                .range("loadLagMillis", loadLagMillis, 0, MAX_MILLIS)
                .range("coldMillis", coldMillis, 0, MAX_MILLIS)
                .range("coldBearable", coldBearable, 1, MAX_REQUESTS)
                .range("coldGrowth", coldGrowth, 0, MAX_REQUESTS)
                .range("coldSlowdown", coldSlowdown, 1, 1_000)
                .throwIfAny();
    }

    /**
     * Returns settings of a server that answers in 40 ms and is cold for 10 s after a start.
     *
     * @return defaults
     */
    public static ApplicationSettings defaults() {
        return new ApplicationSettings(40, 32, 256, 1_000, 10_000, 2, 1, 3, false);
    }

    /**
     * Returns settings that are warm at once and answer in 4 ms, for tests.
     *
     * @return settings
     */
    public static ApplicationSettings fast() {
        return new ApplicationSettings(4, 32, 256, 100, 0, 2, 1, 3, false);
    }

    /**
     * Returns a copy with another cold start.
     *
     * @param millis time for which the server is cold, in milliseconds
     * @param bearable number of requests in flight that it can bear right after a start
     * @return the copy
     */
    public ApplicationSettings withCold(long millis, int bearable) {
        return new ApplicationSettings(
                serviceMillis,
                capacity,
                collapseAt,
                loadLagMillis,
                millis,
                bearable,
                coldGrowth,
                coldSlowdown,
                checksFencing);
    }

    /**
     * Returns a copy that checks fencing numbers or not.
     *
     * @param value whether old fencing numbers are refused
     * @return the copy
     */
    public ApplicationSettings withChecksFencing(boolean value) {
        return new ApplicationSettings(
                serviceMillis,
                capacity,
                collapseAt,
                loadLagMillis,
                coldMillis,
                coldBearable,
                coldGrowth,
                coldSlowdown,
                value);
    }
}
