package org.coltsfootquay.decision.route;

import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Service of a route with its weight.
 *
 * @param service service
 * @param weight share of the route's requests relative to its other services, 0 or more
 */
public record WeightedService(ServiceName service, int weight) {

    /** Validates the values. */
    public WeightedService {
        ArgumentUtils.requireValue(service, "service");
        ArgumentUtils.requireNonNegative(weight, "weight");
    }
}
