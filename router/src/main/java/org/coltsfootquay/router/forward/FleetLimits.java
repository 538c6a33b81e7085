package org.coltsfootquay.router.forward;

import java.time.Duration;

/**
 * Bounds that hold for all routers together; set by the operator of the platform.
 *
 * @param retryRatio repeats allowed for each request of a caller
 * @param retryAllowance repeats allowed in a window beside the ratio
 * @param retryWindow length of the window
 * @param coldOvershoot factor on the rate that a cold server states
 * @param coldSlack requests a second that a cold server tolerates beyond that
 */
public record FleetLimits(
        double retryRatio, double retryAllowance, Duration retryWindow, double coldOvershoot, double coldSlack) {}
