package org.coltsfootquay.decision.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;

/** Immutable version of the routes, services, workspace keys and caller limits. */
public final class RoutingConfiguration {

    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<ServiceName, ServicePolicy> services = new HashMap<>();
    private final Map<String, WorkspaceId> workspacesByKey;
    private final boolean keysRequired;
    private final CallerLimits limits;
    private final Map<WorkspaceId, Integer> workspacePriorities;

    /**
     * Creates a configuration in which no workspace has a priority.
     *
     * @param version version, larger than that of any earlier configuration
     * @param routes routes
     * @param services services
     * @param workspacesByKey workspaces by key
     * @param keysRequired true if routes that are not open need a key
     * @param limits limits on callers
     */
    public RoutingConfiguration(
            long version,
            List<Route> routes,
            List<ServicePolicy> services,
            Map<String, WorkspaceId> workspacesByKey,
            boolean keysRequired,
            CallerLimits limits) {
        this(version, routes, services, workspacesByKey, Map.of(), keysRequired, limits);
    }

    /**
     * Creates a configuration.
     *
     * @param version version, larger than that of any earlier configuration
     * @param routes routes
     * @param services services
     * @param workspacesByKey workspaces by key
     * @param workspacePriorities priorities of workspaces that have one; 0 is the most urgent
     * @param keysRequired true if routes that are not open need a key
     * @param limits limits on callers
     */
    public RoutingConfiguration(
            long version,
            List<Route> routes,
            List<ServicePolicy> services,
            Map<String, WorkspaceId> workspacesByKey,
            Map<WorkspaceId, Integer> workspacePriorities,
            boolean keysRequired,
            CallerLimits limits) {
        this.keysRequired = keysRequired;
        this.version = version;
        this.workspacesByKey = Map.copyOf(workspacesByKey);
        this.workspacePriorities = Map.copyOf(workspacePriorities);
        this.limits = limits;
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host(), host -> new ArrayList<>())
                    .add(route);
        }
        // The longest prefix comes first, so that the first match is the most specific route.
        routesByHost
                .values()
                .forEach(list -> list.sort(
                        Comparator.comparingInt((Route route) -> route.prefix().length())
                                .reversed()));
        services.forEach(service -> this.services.put(service.name(), service));
    }

    /**
     * Returns the version.
     *
     * @return version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the priority of the requests of a workspace on a route: that of the workspace, else that of the route.
     *
     * @param workspace workspace, empty for requests without a key
     * @param route route
     * @return priority; 0 is the most urgent
     */
    public int priority(Optional<WorkspaceId> workspace, Route route) {
        return workspace.map(workspacePriorities::get).orElse(route.priority());
    }

    /**
     * Returns the limits on callers.
     *
     * @return limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns a service.
     *
     * @param name name
     * @return the service, or empty if this version does not define it
     */
    public Optional<ServicePolicy> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds the route of a request and checks the caller's key.
     *
     * @param host host without port, in lower case
     * @param path path without query
     * @param key key of the caller, or null if there is none
     * @return the result of the check
     */
    public Access authorize(String host, String path, String key) {
        Route route = match(host, path);
        if (route == null) {
            return new Access.Denied(Access.Reason.UNKNOWN_ROUTE);
        }
        WorkspaceId workspace = key == null ? null : workspacesByKey.get(key);
        if (workspace == null && !route.open() && keysRequired) {
            return new Access.Denied(Access.Reason.UNKNOWN_KEY);
        }
        return new Access.Allowed(route, Optional.ofNullable(workspace));
    }

    private Route match(String host, String path) {
        for (Route route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.prefix())) {
                return route;
            }
        }
        return null;
    }
}
