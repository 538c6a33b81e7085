package org.coltsfootquay.decision.dispatch;

import java.time.Duration;

/**
 * Fixed figures of a dispatcher.
 *
 * @param startTimeout time within which the send of a granted request must start
 * @param startTimeoutMargin time added to {@code startWithin} before an unused grant is taken back; covers the message delay
 * @param minQueueBound queue bound of a workspace whose rate is low
 * @param maxQueueBound queue bound of a workspace whose rate is high
 * @param queueSeconds seconds of a workspace's own rate that its queue may hold
 * @param orphanTimeout time after which the slot of a request is freed whose entry router was lost
 */
public record DispatchSettings(
        Duration startTimeout,
        Duration startTimeoutMargin,
        int minQueueBound,
        int maxQueueBound,
        int queueSeconds,
        Duration orphanTimeout) {

    /**
     * Returns the figures of the design page.
     *
     * @return settings
     */
    public static DispatchSettings standard() {
        return new DispatchSettings(
                Duration.ofMillis(500), Duration.ofMillis(250), 64, 512, 10, Duration.ofSeconds(30));
    }
}
