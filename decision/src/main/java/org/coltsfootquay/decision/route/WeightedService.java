package org.coltsfootquay.decision.route;

import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Service of a route with its part of the route's requests.
 *
 * @param service service
 * @param weight part of the requests relative to the other services of the route, zero or more
 */
public record WeightedService(ServiceName service, int weight) {

    /** Checks the values. */
    public WeightedService {
        ArgumentUtils.requireValue(service, "service");
        ArgumentUtils.requireNonNegative(weight, "weight");
    }
}
