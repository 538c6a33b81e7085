package org.coltsfootquay.cli.quickstart;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.coltsfootquay.router.settings.KeyDigestUtils;

/** Layout of a drawing archive: three zones, one model service, one application service, 16 workspaces. */
final class FleetLayout {

    static final RegionName REGION = new RegionName("mellansverige");
    static final List<ZoneName> ZONES =
            List.of(new ZoneName("vasteras-a"), new ZoneName("vasteras-b"), new ZoneName("orebro-c"));
    static final ServiceName MODEL = new ServiceName("lm-ritning");
    static final ServiceName APPLICATION = new ServiceName("arkiv-app");
    static final int ROUTERS = 8;
    static final int ENGINES = 6;
    static final int APPLICATION_SERVERS = 3;
    static final List<String> LARGE = List.of("drafting-floor", "retrofit-planning", "archive-import");
    static final String RESERVED = "emergency-service";
    static final int SMALL = 12;

    /** Rate that the reserved workspace bought; about a third of the six engines at their knee. */
    static final long RESERVED_UNITS_PER_SECOND = 3_000;

    static final String LABEL_CLASS = "terminal-label";
    static final String SUMMARY_CLASS = "schematic-summary";
    static final String LOOKUP_CLASS = "drawing-lookup";
    static final String CHECKOUT_CLASS = "drawing-checkout";
    static final Duration LABEL_FIRST_TOKEN = Duration.ofMillis(900);

    private FleetLayout() {}

    static String keyOf(String workspace) {
        return "key-" + workspace;
    }

    static List<String> workspaces() {
        List<String> names = new ArrayList<>(LARGE);
        names.add(RESERVED);
        for (int i = 1; i <= SMALL; i++) {
            names.add("field-team-" + i);
        }
        return names;
    }

    static ZoneName zoneOf(int index) {
        return ZONES.get(index % ZONES.size());
    }

    /** Configuration for servers at the given addresses; server i is in zone i modulo 3. */
    static FleetConfiguration configuration(List<String> engines, List<String> applicationServers) {
        Map<ZoneName, Zone> zones = new LinkedHashMap<>();
        ZONES.forEach(zone -> zones.put(zone, new Zone(zone, REGION, AdministrativeState.IN_SERVICE)));
        Map<ServerName, BackendServer> servers = new LinkedHashMap<>();
        addServers(servers, "engine-", MODEL, engines);
        addServers(servers, "app-", APPLICATION, applicationServers);
        Map<WorkspaceId, Workspace> workspaces = new LinkedHashMap<>();
        workspaces().forEach(name -> {
            WorkspaceId id = new WorkspaceId(name);
            Map<ServiceName, Long> reserved =
                    name.equals(RESERVED) ? Map.of(MODEL, RESERVED_UNITS_PER_SECOND) : Map.of();
            workspaces.put(id, new Workspace(id, List.of(KeyDigestUtils.digest(keyOf(name))), reserved));
        });
        return new FleetConfiguration(
                0,
                zones,
                Map.of(
                        MODEL, new Service(MODEL, ServiceKind.MODEL),
                        APPLICATION, new Service(APPLICATION, ServiceKind.APPLICATION)),
                servers,
                classes(),
                workspaces);
    }

    static boolean checksFencing(int index) {
        return index % 2 == 0;
    }

    private static void addServers(
            Map<ServerName, BackendServer> servers, String prefix, ServiceName service, List<String> addresses) {
        for (int i = 0; i < addresses.size(); i++) {
            ServerName name = new ServerName(prefix + (i + 1));
            servers.put(
                    name,
                    new BackendServer(
                            name,
                            service,
                            zoneOf(i),
                            addresses.get(i),
                            checksFencing(i),
                            AdministrativeState.IN_SERVICE));
        }
    }

    private static Map<ClassOfWorkName, ClassOfWork> classes() {
        Map<ClassOfWorkName, ClassOfWork> classes = new LinkedHashMap<>();
        LatencyTarget label =
                new LatencyTarget(Optional.of(LABEL_FIRST_TOKEN), Optional.of(Duration.ofMillis(57)), Optional.empty());
        LatencyTarget summary = new LatencyTarget(
                Optional.of(Duration.ofSeconds(5)), Optional.of(Duration.ofMillis(57)), Optional.empty());
        LatencyTarget lookup =
                new LatencyTarget(Optional.empty(), Optional.empty(), Optional.of(Duration.ofMillis(500)));
        LatencyTarget checkout =
                new LatencyTarget(Optional.empty(), Optional.empty(), Optional.of(Duration.ofSeconds(2)));
        add(classes, LABEL_CLASS, MODEL, label, 20, true, List.of(), true);
        add(classes, SUMMARY_CLASS, MODEL, summary, 60, true, List.of(), false);
        add(
                classes,
                LOOKUP_CLASS,
                APPLICATION,
                lookup,
                5,
                true,
                List.of(new ClassOfWork.Route("GET", "/drawings")),
                false);
        add(
                classes,
                CHECKOUT_CLASS,
                APPLICATION,
                checkout,
                10,
                false,
                List.of(new ClassOfWork.Route("POST", "/checkouts")),
                false);
        return classes;
    }

    private static void add(
            Map<ClassOfWorkName, ClassOfWork> classes,
            String name,
            ServiceName service,
            LatencyTarget target,
            int patienceSeconds,
            boolean idempotent,
            List<ClassOfWork.Route> routes,
            boolean defaultForService) {
        ClassOfWorkName className = new ClassOfWorkName(name);
        classes.put(
                className,
                new ClassOfWork(
                        className,
                        service,
                        target,
                        Duration.ofSeconds(patienceSeconds),
                        idempotent,
                        routes,
                        defaultForService));
    }
}
