package org.coltsfootquay.decision.configuration;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * One immutable version of the fleet configuration.
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
        Map<ClassOfWorkName, ClassOfWork> classes,
        Map<WorkspaceId, Workspace> workspaces) {

    private static final FleetConfiguration NONE =
            new FleetConfiguration(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    /** Copies the maps, preserving their order. */
    public FleetConfiguration {
        zones = copy(zones);
        services = copy(services);
        servers = copy(servers);
        classes = copy(classes);
        workspaces = copy(workspaces);
    }

    /**
     * Returns the empty configuration, which is in force before any version is known.
     *
     * @return empty configuration with version 0
     */
    public static FleetConfiguration none() {
        return NONE;
    }

    /**
     * Tests whether new work may be dispatched to a backend server.
     *
     * @param server name of the server
     * @return true if the server is known and neither it nor its zone is leaving
     */
    public boolean admitsWork(ServerName server) {
        BackendServer entry = servers.get(server);
        return entry != null && entry.state() == AdministrativeState.IN_SERVICE && inService(entry.zone());
    }

    /**
     * Tests whether a zone is in service.
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
     * @return servers in configuration order
     */
    public List<BackendServer> serversOf(ServiceName service) {
        return servers.values().stream()
                .filter(server -> server.service().equals(service))
                .toList();
    }

    /**
     * Returns the default class of work of a service, which applies to requests that name no class.
     *
     * @param service name of the service
     * @return default class, or empty if there is none
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
