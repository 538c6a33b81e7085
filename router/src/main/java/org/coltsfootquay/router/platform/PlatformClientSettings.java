package org.coltsfootquay.router.platform;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Settings of the platform client.
 *
 * @param address {@code host:port} of the platform
 * @param callTimeout time within which each call gets its callback, retries included
 * @param maxInFlight calls sent and not answered at a time
 * @param maxWaiting calls that wait to be sent; further calls fail at once
 * @param readAttempts attempts of a read, the first included
 * @param initialBackoff upper bound of the random pause before the second attempt; doubles with each further attempt
 * @param maxBackoff upper bound of all pauses
 */
public record PlatformClientSettings(
        String address,
        Duration callTimeout,
        int maxInFlight,
        int maxWaiting,
        int readAttempts,
        Duration initialBackoff,
        Duration maxBackoff) {

    /**
     * Checks the settings.
     *
     * @throws IllegalArgumentException if a number or a duration is not positive
     */
    public PlatformClientSettings {
        ArgumentUtils.requireText(address, "address");
        ArgumentUtils.requirePositive(callTimeout.toNanos(), "callTimeout");
        ArgumentUtils.requirePositive(maxInFlight, "maxInFlight");
        ArgumentUtils.requireNonNegative(maxWaiting, "maxWaiting");
        ArgumentUtils.requirePositive(readAttempts, "readAttempts");
        ArgumentUtils.requirePositive(initialBackoff.toNanos(), "firstBackoff");
        ArgumentUtils.requirePositive(maxBackoff.toNanos(), "maxBackoff");
    }

    /**
     * Returns the settings for a platform at an address.
     *
     * <p>With a timeout of 2 s a router can try to renew its lease of 9 s twice before the lease lapses. 16 calls in
     * flight are enough for 4 claims at a time, a renewal, a poll and the batches of several shards.
     *
     * @param address {@code host:port} of the platform
     * @return defaults
     */
    public static PlatformClientSettings of(String address) {
        return new PlatformClientSettings(
                address, Duration.ofSeconds(2), 16, 256, 3, Duration.ofMillis(50), Duration.ofMillis(500));
    }

    /**
     * Returns a copy with another time limit.
     *
     * @param timeout time limit of one call
     * @return the copy
     */
    public PlatformClientSettings withCallTimeout(Duration timeout) {
        return new PlatformClientSettings(
                address, timeout, maxInFlight, maxWaiting, readAttempts, initialBackoff, maxBackoff);
    }
}
