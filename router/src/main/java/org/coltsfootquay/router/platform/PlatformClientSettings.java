package org.coltsfootquay.router.platform;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Settings of the platform client.
 *
 * @param address {@code host:port} of the platform
 * @param callTimeout time limit of one call, including queueing and retries
 * @param maxInFlight maximum number of calls that are sent and not answered
 * @param maxWaiting maximum number of queued calls; further calls fail immediately
 * @param readAttempts maximum number of attempts of a read, including the first
 * @param initialBackoff upper bound of the random backoff before the second attempt; doubles with each further attempt
 * @param maxBackoff upper bound of every backoff
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
        ArgumentUtils.requirePositive(initialBackoff.toNanos(), "initialBackoff");
        ArgumentUtils.requirePositive(maxBackoff.toNanos(), "maxBackoff");
    }

    /**
     * Returns the default settings for a platform at an address.
     *
     * <p>With a timeout of 2 s a router can try twice to renew its 9 s lease before the lease expires. 16 calls in
     * flight are enough for 4 concurrent claims, a renewal, a poll and the batches of several shards.
     *
     * @param address {@code host:port} of the platform
     * @return default settings
     */
    public static PlatformClientSettings of(String address) {
        return new PlatformClientSettings(
                address, Duration.ofSeconds(2), 16, 256, 3, Duration.ofMillis(50), Duration.ofMillis(500));
    }

    /**
     * Returns a copy with another call timeout.
     *
     * @param timeout time limit of one call
     * @return the copy
     */
    public PlatformClientSettings withCallTimeout(Duration timeout) {
        return new PlatformClientSettings(
                address, timeout, maxInFlight, maxWaiting, readAttempts, initialBackoff, maxBackoff);
    }
}
