package org.coltsfootquay.decision.dispatch;

import java.time.Duration;

/**
 * Parameters of a dispatcher.
 *
 * @param startTimeout time within which the entry router must start to send a granted request
 * @param startTimeoutMargin time added to {@code startTimeout} before an unused grant is revoked, to allow for message
 *     delay
 * @param minQueueBound minimum queue bound of a workspace, which applies at low grant rates
 * @param maxQueueBound maximum queue bound of a workspace, which applies at high grant rates
 * @param queueSeconds seconds of a workspace's grant rate that its queue may hold, within these two bounds
 * @param orphanTimeout time after which the slot of a preempted request, or of a request whose entry router was lost,
 *     is freed without a report of its end
 */
public record DispatchSettings(
        Duration startTimeout,
        Duration startTimeoutMargin,
        int minQueueBound,
        int maxQueueBound,
        int queueSeconds,
        Duration orphanTimeout) {

    /**
     * Returns the default parameters, as given in the design documentation.
     *
     * @return settings
     */
    public static DispatchSettings standard() {
        return new DispatchSettings(
                Duration.ofMillis(500), Duration.ofMillis(250), 64, 512, 10, Duration.ofSeconds(30));
    }
}
