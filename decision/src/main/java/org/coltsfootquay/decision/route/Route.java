package org.coltsfootquay.decision.route;

import java.time.Duration;
import java.util.List;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Rule that routes the requests for a host and path prefix to services.
 *
 * @param name name in the operator's configuration
 * @param host host name that callers send, without port, in lower case
 * @param prefix path prefix that begins and ends with a slash
 * @param kind whether requests may be executed more than once
 * @param services services with their weights, at least one
 * @param timeout maximum time until the end of the response
 * @param target time within which the first event of a stream, or the whole response, is counted as on time
 * @param maxAttempts maximum number of backend servers that one request is sent to
 * @param open true if requests need no workspace key
 * @param resumable true if a broken stream may be resumed on another server
 * @param promptLocality true if requests describe their prompts, so that servers with cached parts can be preferred
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        List<WeightedService> services,
        Duration timeout,
        Duration target,
        int maxAttempts,
        boolean open,
        boolean resumable,
        boolean promptLocality) {

    /** Validates the values and copies the list. */
    public Route {
        ArgumentUtils.requireText(host, "host");
        ArgumentUtils.requireText(prefix, "prefix");
        ArgumentUtils.requireValue(kind, "kind");
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException(
                    "route " + name + " has no service; add at least one service with a weight above zero");
        }
        ArgumentUtils.requirePositive(timeout.toNanos(), "timeout of route " + name);
        ArgumentUtils.requirePositive(maxAttempts, "maxAttempts of route " + name);
    }

    /**
     * Returns whether a request may be executed again after an attempt whose outcome is unknown.
     *
     * @return true for idempotent requests and streams that may be resumed
     */
    public boolean isRetryable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }

    /**
     * Selects a service by weight.
     *
     * @param hash hash of the request, so that the choice is stable for one request
     * @return the service
     */
    public ServiceName serviceFor(long hash) {
        long total = services.stream().mapToLong(WeightedService::weight).sum();
        if (total <= 0) {
            return services.get(0).service();
        }
        long point = Math.floorMod(hash, total);
        for (WeightedService candidate : services) {
            point -= candidate.weight();
            if (point < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
