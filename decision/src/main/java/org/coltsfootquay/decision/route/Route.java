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
 * @param priority priority of requests whose workspace has none; 0 is the most urgent
 * @param targetPause longest pause within a stream that is counted as on time; zero if there is no limit
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
        boolean promptLocality,
        int priority,
        Duration targetPause) {

    /**
     * Creates a route of the most urgent priority without a limit of pauses.
     *
     * @param name name in the operator's configuration
     * @param host host name that callers send
     * @param prefix path prefix
     * @param kind whether requests may be executed more than once
     * @param services services with their weights
     * @param timeout maximum time until the end of the response
     * @param target time within which a response is counted as on time
     * @param maxAttempts maximum number of backend servers that one request is sent to
     * @param open true if requests need no workspace key
     * @param resumable true if a broken stream may be resumed on another server
     * @param promptLocality true if requests describe their prompts
     */
    public Route(
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
        this(
                name,
                host,
                prefix,
                kind,
                services,
                timeout,
                target,
                maxAttempts,
                open,
                resumable,
                promptLocality,
                0,
                Duration.ZERO);
    }

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
        ArgumentUtils.requireValue(targetPause, "targetPause of route " + name);
        if (priority < 0) {
            throw new IllegalArgumentException(
                    "priority " + priority + " of route " + name + " is negative; use 0 for the most urgent requests");
        }
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
