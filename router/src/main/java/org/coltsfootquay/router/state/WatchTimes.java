package org.coltsfootquay.router.state;

import java.time.Duration;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/** Durations of watches, and delays between calls to the store, which grow with the number of routers. */
final class WatchTimes {

    /** Initial retry delay after a failed call; short, so that a brief failure costs little time. */
    static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);

    /**
     * Maximum duration of a watch of tables whose changes must arrive within a time bound. A watch on a dead connection
     * hides changes for this time, unless the watch of another router ends or a check of the table finds them earlier.
     */
    private static final Duration MAX_WATCH_DURATION = Duration.ofSeconds(10);

    /**
     * Fleet size up to which {@link #MAX_WATCH_DURATION} applies. Watches of a larger fleet are longer: some router's
     * watch still ends as soon as in a small fleet, and the number of calls would otherwise grow with the fleet.
     */
    private static final int SMALL_FLEET_ROUTERS = 8;

    /**
     * Maximum watch duration in a large fleet, the longest that the store accepts; a router that receives no beacons
     * detects a dead connection by then.
     */
    private static final Duration MAX_LARGE_FLEET_WATCH_DURATION = Duration.ofSeconds(30);

    /**
     * Delay of the next watch after a change, per router of the fleet. Each change completes the watches of all
     * routers, so that calls grow with both numbers; the changes made during the delay arrive in one reply.
     */
    private static final Duration CHANGE_DELAY_PER_ROUTER = Duration.ofMillis(10);

    /** Maximum delay after a change; a small part of the shortest time bound on changes, 3 s for the configuration. */
    private static final Duration MAX_CHANGE_DELAY = Duration.ofMillis(600);

    /**
     * Factor on the delay for the table of servers: many rows change together when servers start or during a release,
     * and a leaving server still serves requests for 3 s after its change.
     */
    private static final int SERVER_CHANGE_DELAY_FACTOR = 2;

    /** Delay after a change of the table of routers; other routers learn of a new router from its beacons. */
    private static final Duration ROUTER_CHANGE_DELAY = Duration.ofSeconds(10);

    /** Random fraction of the watch duration; separates the watches of routers that start at the same time. */
    private static final double WATCH_JITTER = 0.5;

    /** Watch duration of the table of routers; long to save calls, since beacons keep that table current. */
    private static final Duration ROUTER_WATCH_DURATION = Duration.ofSeconds(20);

    /** Maximum retry delay after failed calls; half of the time within which a recovered store must be detected. */
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(800);

    private static final int MAX_RETRY_DOUBLINGS = 3;

    private final RandomGenerator random;
    private final IntSupplier routerCount;

    WatchTimes(RandomGenerator random, IntSupplier routerCount) {
        this.random = random;
        this.routerCount = routerCount;
    }

    /** Returns the time for which the delay after a change may hide further changes from this router. */
    Duration changeDelay(WatchedTable table) {
        Duration delay = min(CHANGE_DELAY_PER_ROUTER.multipliedBy(routerCount.getAsInt()), MAX_CHANGE_DELAY);
        return switch (table) {
            case OPERATOR -> delay;
            case SERVERS -> delay.multipliedBy(SERVER_CHANGE_DELAY_FACTOR);
            case ROUTERS -> ROUTER_CHANGE_DELAY;
        };
    }

    /** Returns the maximum duration of the next watch of a table. */
    Duration watchDuration(WatchedTable table) {
        if (table == WatchedTable.ROUTERS) {
            return ROUTER_WATCH_DURATION;
        }
        double factor = Math.max(1, (double) routerCount.getAsInt() / SMALL_FLEET_ROUTERS);
        double maxMillis =
                Math.min((double) MAX_LARGE_FLEET_WATCH_DURATION.toMillis(), MAX_WATCH_DURATION.toMillis() * factor);
        return Duration.ofMillis((long) (maxMillis * (1 - WATCH_JITTER * random.nextDouble())));
    }

    /** Returns the delay before a failed call is repeated. */
    Duration retryDelay(int consecutiveFailures) {
        // The store charges for failed calls too, and in a large fleet the calls of many routers fail at the same time.
        long factor = (long) Math.max(1, routerCount.getAsInt() / SMALL_FLEET_ROUTERS)
                << Math.min(MAX_RETRY_DOUBLINGS, consecutiveFailures / 3);
        return min(INITIAL_RETRY_DELAY.multipliedBy(factor), MAX_RETRY_DELAY);
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }
}
