package org.coltsfootquay.decision.configuration;

import java.time.Duration;
import java.util.List;
import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Class of work: requests of one service that share a latency target.
 *
 * @param name name, unique in the configuration
 * @param service service that the requests go to
 * @param target latency target
 * @param patience maximum time that a request waits before it is refused
 * @param idempotent whether a request may run again after a failure; otherwise {@code Idempotency-Key} is required
 * @param routes methods and paths of application calls; empty for model services
 * @param defaultForService whether requests of the service that name no class belong to this class
 */
public record ClassOfWork(
        ClassOfWorkName name,
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
     * @param pathPrefix prefix of the path, starting with a slash; matches whole path segments
     */
    public record Route(String method, String pathPrefix) {}
}
