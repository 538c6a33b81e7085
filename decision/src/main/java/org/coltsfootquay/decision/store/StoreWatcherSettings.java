package org.coltsfootquay.decision.store;

import java.time.Duration;
import java.util.List;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Settings of the store watcher.
 *
 * @param prefixes prefixes of the keys to watch
 * @param period time between two polls
 * @param maxBackoff longest time between two polls while the store does not answer
 * @param outageTimeout time without an answer after which the store counts as out of reach
 * @param settlingTime time of unbroken contact after which contact is settled
 */
public record StoreWatcherSettings(
        List<String> prefixes, Duration period, Duration maxBackoff, Duration outageTimeout, Duration settlingTime) {

    /**
     * Copies the prefixes and checks the durations.
     *
     * @throws IllegalArgumentException if a duration is not greater than zero
     */
    public StoreWatcherSettings {
        prefixes = List.copyOf(prefixes);
        ArgumentUtils.requirePositive(period.toNanos(), "period");
        ArgumentUtils.requirePositive(maxBackoff.toNanos(), "longest backoff");
        ArgumentUtils.requirePositive(outageTimeout.toNanos(), "outage limit");
        ArgumentUtils.requirePositive(settlingTime.toNanos(), "settling time");
    }

    /**
     * Returns the settings of the design: one poll a second over configuration, routers and servers.
     *
     * <p>With a longest backoff of 1 s, polls are no more frequent during an outage than in normal operation, and a
     * router is back in contact within one call timeout and 1 s. The backoff stays below the settling time, so that
     * after an outage every holder can renew before another router claims. The settling time of 12 s exceeds the 8 s
     * for which a holder relies on a report of an outage, so that the holder has reduced its share before another
     * router claims.
     *
     * @return settings
     */
    public static StoreWatcherSettings standard() {
        return new StoreWatcherSettings(
                List.of("config/", "router/", "server/"),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Duration.ofSeconds(3),
                Duration.ofSeconds(12));
    }
}
