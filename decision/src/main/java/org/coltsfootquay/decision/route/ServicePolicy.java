package org.coltsfootquay.decision.route;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * What the operator's configuration says of a service.
 *
 * @param name service
 * @param maxConnections connections that one server accepts from all routers together
 * @param coldRatePerSecond requests a second that a cold server tolerates from all routers together, zero if it is
 *     never cold
 * @param coldDuration time for which a server is cold after its start
 * @param cacheTokens tokens that a model engine holds in memory, zero for application servers
 */
public record ServicePolicy(
        ServiceName name, int maxConnections, double coldRatePerSecond, Duration coldDuration, long cacheTokens) {

    /** Checks the values. */
    public ServicePolicy {
        ArgumentUtils.requireValue(name, "name");
        ArgumentUtils.requirePositive(maxConnections, "maxConnections of service " + name);
        ArgumentUtils.requireNonNegative(cacheTokens, "cacheTokens of service " + name);
    }
}
