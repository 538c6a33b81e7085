package org.coltsfootquay.decision.configuration;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.common.RequestClassName;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Immutable configuration of the fleet, one version.
 *
 * @param version version; 0 only for {@link #none()}
 * @param zones zones by name
 * @param services services by name
 * @param servers backend servers by name
 * @param classes classes of work by name
 * @param workspaces workspaces by identifier
 */
public record FleetConfiguration(
        long version,
        Map<ZoneName, Zone> zones,
        Map<ServiceName, Service> services,
        Map<ServerName, BackendServer> servers,
        Map<RequestClassName, ClassOfWork> classes,
        Map<WorkspaceId, Workspace> workspaces) {

    private static final FleetConfiguration NONE =
            new FleetConfiguration(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    /** Copies the maps and keeps their order. */
    public FleetConfiguration {
        zones = copy(zones);
        services = copy(services);
        servers = copy(servers);
        classes = copy(classes);
        workspaces = copy(workspaces);
    }

    /**
     * Returns the configuration before any version is known.
     *
     * @return empty configuration with version 0
     */
    public static FleetConfiguration none() {
        return NONE;
    }

    /**
     * Tells whether new work may be given to a backend server.
     *
     * @param server name of the server
     * @return true if the server is known and neither it nor its zone is leaving
     */
    public boolean admitsWork(ServerName server) {
        BackendServer entry = servers.get(server);
        return entry != null && entry.state() == AdministrativeState.IN_SERVICE && inService(entry.zone());
    }

    /**
     * Tells whether a zone is in service.
     *
     * @param zone name of the zone
     * @return true if the zone is known and not leaving
     */
    public boolean inService(ZoneName zone) {
        Zone entry = zones.get(zone);
        return entry != null && entry.state() == AdministrativeState.IN_SERVICE;
    }

    /**
     * Returns the backend servers of a service.
     *
     * @param service name of the service
     * @return servers in the order of the configuration
     */
    public List<BackendServer> serversOf(ServiceName service) {
        return servers.values().stream()
                .filter(server -> server.service().equals(service))
                .toList();
    }

    /**
     * Returns the class of work for requests of a service that name none.
     *
     * @param service name of the service
     * @return the default class, or empty
     */
    public Optional<ClassOfWork> defaultClass(ServiceName service) {
        return classes.values().stream()
                .filter(entry -> entry.defaultForService() && entry.service().equals(service))
                .findFirst();
    }

    private static <K, V> Map<K, V> copy(Map<K, V> map) {
        return Collections.unmodifiableMap(new LinkedHashMap<>(map));
    }
}
