package org.coltsfootquay.decision.rollout;

import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * What a count of responses is kept for.
 *
 * @param route name of the route
 * @param server identifier of a server of the target; empty for the sum of all servers of other versions
 */
public record CountKey(String route, String server) {

    /** Suffix of the name of a route for the time from the first event of a stream to its end. */
    private static final String RUN_SUFFIX = " (run)";

    /** Checks the values. */
    public CountKey {
        ArgumentUtils.requireValue(route, "route");
        ArgumentUtils.requireValue(server, "server");
    }

    /**
     * Returns whether the count is one of the target.
     *
     * @return false for other versions
     */
    public boolean target() {
        return !server.isEmpty();
    }

    /**
     * Returns the name under which the times from the first event of a stream to its end are counted.
     *
     * @param route name of the route
     * @return name; not that of a route
     */
    public static String runOf(String route) {
        return route + RUN_SUFFIX;
    }

    /** Returns whether the responses were counted before, when they began. */
    boolean run() {
        return route.endsWith(RUN_SUFFIX);
    }
}
