package org.coltsfootquay.decision.store;

import java.time.Duration;
import java.util.List;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Settings of the store watcher.
 *
 * @param prefixes key prefixes to watch
 * @param period interval between polls
 * @param maxBackoff maximum interval between polls while the store does not respond
 * @param outageTimeout time without a response after which the store counts as unreachable
 * @param settlingTime time of uninterrupted connectivity after which it counts as settled
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
        ArgumentUtils.requirePositive(maxBackoff.toNanos(), "max backoff");
        ArgumentUtils.requirePositive(outageTimeout.toNanos(), "outage timeout");
        ArgumentUtils.requirePositive(settlingTime.toNanos(), "settling time");
    }

    /**
     * Returns the default settings: one poll per second for configuration, routers and servers.
     *
     * <p>With a maximum backoff of 1 s, polls are no more frequent during an outage than in normal operation, and a
     * router reconnects within one call timeout plus 1 s. The backoff is shorter than the settling time, so that after
     * an outage every holder can renew its lease before another router claims its servers. The settling time of 12 s
     * exceeds the 8 s for which a holder relies on an outage report, so that the holder has reduced its share before
     * another router claims.
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
