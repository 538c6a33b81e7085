package org.coltsfootquay.decision.route;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Settings of a service in the operator's configuration.
 *
 * @param name service
 * @param maxConnections maximum number of connections that one server accepts from all routers together
 * @param coldRatePerSecond requests per second that a cold server tolerates from all routers together; 0 if servers are
 *     never cold
 * @param coldDuration time for which a server is cold after its start
 * @param cacheTokens tokens that a model engine holds in memory; 0 for application servers
 */
public record ServicePolicy(
        ServiceName name, int maxConnections, double coldRatePerSecond, Duration coldDuration, long cacheTokens) {

    /** Validates the values. */
    public ServicePolicy {
        ArgumentUtils.requireValue(name, "name");
        ArgumentUtils.requirePositive(maxConnections, "maxConnections of service " + name);
        ArgumentUtils.requireNonNegative(cacheTokens, "cacheTokens of service " + name);
    }
}
