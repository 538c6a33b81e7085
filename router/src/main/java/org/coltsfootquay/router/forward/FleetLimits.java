package org.coltsfootquay.router.forward;

import java.time.Duration;

/**
 * Limits that apply to all routers together; set by the operator of the platform.
 *
 * @param retryRatio retries allowed per request of a caller
 * @param retryAllowance retries allowed per window in addition to the ratio
 * @param retryWindow length of the sliding window
 * @param coldOvershoot factor on the request rate that a cold server advertises
 * @param coldSlack requests per second that a cold server tolerates in addition
 */
public record FleetLimits(
        double retryRatio, double retryAllowance, Duration retryWindow, double coldOvershoot, double coldSlack) {}
