package org.coltsfootquay.router.settings;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.configuration.AdministrativeState;
import org.coltsfootquay.decision.configuration.BackendServer;
import org.coltsfootquay.decision.configuration.ClassOfWork;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.LatencyTarget;
import org.coltsfootquay.decision.configuration.Service;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.configuration.Workspace;
import org.coltsfootquay.decision.configuration.Zone;
import org.coltsfootquay.settings.SettingsException;
import org.coltsfootquay.settings.SettingsObject;
import org.coltsfootquay.settings.SettingsReader;

/** Reads the fleet configuration from JSON with comments and validates its references. */
public final class FleetConfigurationReader {

    private static final Duration DEFAULT_PATIENCE = Duration.ofSeconds(30);
    private static final long MAX_UNITS_PER_SECOND = 1_000_000_000L;

    private final SettingsObject root;
    private final Map<ZoneName, Zone> zones;
    private final Map<ServiceName, Service> services;

    private FleetConfigurationReader(SettingsObject root) {
        this.root = root;
        this.zones = readMap("zones", FleetConfigurationReader::readZone, Zone::name);
        this.services = readMap("services", FleetConfigurationReader::readService, Service::name);
    }

    /**
     * Reads a configuration.
     *
     * @param source name of the source, used in error messages
     * @param text JSON with comments
     * @return the configuration; its version is 0 if the text has no version
     * @throws SettingsException if the text is invalid; lists all problems
     */
    public static FleetConfiguration read(String source, String text) throws SettingsException {
        return SettingsReader.read(source, text, FleetConfigurationReader::fromObject);
    }

    /**
     * Reads a configuration from the root object of a file and records problems in that object.
     *
     * @param root root object
     * @return the configuration
     */
    public static FleetConfiguration fromObject(SettingsObject root) {
        return new FleetConfigurationReader(root).readConfiguration();
    }

    private FleetConfiguration readConfiguration() {
        long version = root.number("version", 0, Long.MAX_VALUE, 0);
        Map<ServerName, BackendServer> servers = readMap("servers", this::readServer, BackendServer::name);
        Map<ClassOfWorkName, ClassOfWork> classes = readMap("classes", this::readClassOfWork, ClassOfWork::name);
        Map<WorkspaceId, Workspace> workspaces = readMap("workspaces", this::readWorkspace, Workspace::id);
        requireDefaultClasses(classes);
        rejectSharedKeys(workspaces);
        return new FleetConfiguration(version, zones, services, servers, classes, workspaces);
    }

    private <K, V> Map<K, V> readMap(String field, Function<SettingsObject, V> reader, Function<V, K> key) {
        Map<K, V> values = new LinkedHashMap<>();
        root.objects(field, object -> {
            V value = reader.apply(object);
            if (values.putIfAbsent(key.apply(value), value) != null) {
                object.problem("", "a duplicate entry named " + key.apply(value), "give each entry a unique name");
            }
            return value;
        });
        return values;
    }

    private static Zone readZone(SettingsObject object) {
        return new Zone(
                new ZoneName(object.name("name")),
                new RegionName(object.name("region")),
                object.constant("state", AdministrativeState.class, AdministrativeState.IN_SERVICE));
    }

    private static Service readService(SettingsObject object) {
        return new Service(new ServiceName(object.name("name")), object.constant("kind", ServiceKind.class, null));
    }

    private BackendServer readServer(SettingsObject object) {
        ServerName name = new ServerName(object.name("name"));
        ServiceName service = readServiceReference(object);
        ZoneName zone = new ZoneName(object.name("zone"));
        if (!zones.containsKey(zone)) {
            object.problem("zone", "unknown zone " + zone, "use one of " + zones.keySet());
        }
        return new BackendServer(
                name,
                service,
                zone,
                object.address("address"),
                object.flag("checksFencing", false),
                object.constant("state", AdministrativeState.class, AdministrativeState.IN_SERVICE));
    }

    private ClassOfWork readClassOfWork(SettingsObject object) {
        ClassOfWorkName name = new ClassOfWorkName(object.name("name"));
        ServiceName service = readServiceReference(object);
        Optional<LatencyTarget> target = object.object("target", FleetConfigurationReader::readTarget);
        if (target.isEmpty()) {
            object.problem("target", "nothing", "add an object with firstTokenWithin, betweenTokens or finishedWithin");
        }
        boolean idempotent = object.flag("idempotent", true);
        List<ClassOfWork.Route> routes = object.objects("routes", FleetConfigurationReader::readRoute);
        boolean application =
                services.containsKey(service) && services.get(service).kind() == ServiceKind.APPLICATION;
        if (application && routes.isEmpty()) {
            object.problem("routes", "no route", "add at least one {\"method\": ..., \"pathPrefix\": ...}");
        }
        if (!application && services.containsKey(service) && (!routes.isEmpty() || !idempotent)) {
            object.problem(
                    "",
                    "routes or idempotent: false on a model service",
                    "remove them; only application services support them");
        }
        return new ClassOfWork(
                name,
                service,
                target.orElse(new LatencyTarget(Optional.empty(), Optional.empty(), Optional.empty())),
                object.duration("patience").orElse(DEFAULT_PATIENCE),
                idempotent,
                routes,
                object.flag("default", false));
    }

    private static LatencyTarget readTarget(SettingsObject object) {
        LatencyTarget target = new LatencyTarget(
                object.duration("firstTokenWithin"),
                object.duration("betweenTokens"),
                object.duration("finishedWithin"));
        if (target.firstTokenWithin().isEmpty()
                && target.betweenTokens().isEmpty()
                && target.finishedWithin().isEmpty()) {
            object.problem("", "no target", "add firstTokenWithin, betweenTokens or finishedWithin");
        }
        return target;
    }

    private static ClassOfWork.Route readRoute(SettingsObject object) {
        String method = object.text("method");
        if (!Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "").contains(method)) {
            object.problem("method", method, "use GET, HEAD, POST, PUT, PATCH or DELETE");
        }
        String pathPrefix = object.text("pathPrefix");
        if (!pathPrefix.isEmpty() && (!pathPrefix.startsWith("/") || pathPrefix.startsWith("/v1/"))) {
            object.problem(
                    "pathPrefix",
                    pathPrefix,
                    "start it with '/', but not with '/v1/', which is reserved for the router");
        }
        return new ClassOfWork.Route(method, pathPrefix);
    }

    private Workspace readWorkspace(SettingsObject object) {
        WorkspaceId id = new WorkspaceId(object.name("id"));
        List<String> keys = object.texts("keys").stream()
                .map(text -> KeyDigestUtils.parseDigest(text, object, "keys"))
                .toList();
        if (keys.isEmpty()) {
            object.problem("keys", "no key", "add at least one \"sha256:<64 hexadecimal digits>\"");
        }
        Map<ServiceName, Long> reserved = new LinkedHashMap<>();
        object.numbersByName("reservedUnitsPerSecond", 1, MAX_UNITS_PER_SECOND).forEach((name, units) -> {
            ServiceName service = new ServiceName(name);
            if (!services.containsKey(service)) {
                object.problem("reservedUnitsPerSecond", "unknown service " + name, "use one of " + services.keySet());
            }
            reserved.put(service, units);
        });
        return new Workspace(id, keys, reserved);
    }

    private ServiceName readServiceReference(SettingsObject object) {
        ServiceName service = new ServiceName(object.name("service"));
        if (!services.containsKey(service)) {
            object.problem("service", "unknown service " + service, "use one of " + services.keySet());
        }
        return service;
    }

    private void requireDefaultClasses(Map<ClassOfWorkName, ClassOfWork> classes) {
        services.values().stream()
                .filter(service -> service.kind() == ServiceKind.MODEL)
                .forEach(service -> {
                    long defaults = classes.values().stream()
                            .filter(entry -> entry.service().equals(service.name()) && entry.defaultForService())
                            .count();
                    if (defaults != 1) {
                        root.problem(
                                "classes",
                                defaults + " default classes for model service " + service.name(),
                                "set \"default\": true on exactly one class of the service");
                    }
                });
    }

    private void rejectSharedKeys(Map<WorkspaceId, Workspace> workspaces) {
        Set<String> seen = new HashSet<>();
        Set<WorkspaceId> shared = workspaces.values().stream()
                .filter(workspace -> workspace.keyDigests().stream().anyMatch(key -> !key.isEmpty() && !seen.add(key)))
                .map(Workspace::id)
                .collect(Collectors.toSet());
        if (!shared.isEmpty()) {
            root.problem(
                    "workspaces",
                    "a key that another workspace already has in " + shared,
                    "give each workspace keys of its own");
        }
    }
}
