package org.coltsfootquay.decision.configuration;

import java.time.Duration;
import java.util.List;
import org.coltsfootquay.decision.common.RequestClassName;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Class of work: requests of one service with a common target.
 *
 * @param name name, unique in the configuration
 * @param service service the requests go to
 * @param target target
 * @param patience longest time a request waits before it is refused
 * @param idempotent whether a request may run again after a failure; if not, {@code Idempotency-Key} is required
 * @param routes methods and paths of application calls; empty for model services
 * @param defaultForService whether requests of the service that name no class belong to this one
 */
public record ClassOfWork(
        RequestClassName name,
        ServiceName service,
        LatencyTarget target,
        Duration patience,
        boolean idempotent,
        List<Route> routes,
        boolean defaultForService) {

    /** Copies the routes. */
    public ClassOfWork {
        routes = List.copyOf(routes);
    }

    /**
     * Method and path of application calls.
     *
     * @param method HTTP method in upper case
     * @param pathPrefix prefix of the path, starting with a slash; matches whole segments
     */
    public record Route(String method, String pathPrefix) {}
}
