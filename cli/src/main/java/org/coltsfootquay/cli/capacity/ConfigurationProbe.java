package org.coltsfootquay.cli.capacity;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.GZIPOutputStream;
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
import org.coltsfootquay.router.settings.FleetConfigurationReader;
import org.coltsfootquay.router.settings.FleetConfigurationWriter;
import org.coltsfootquay.router.settings.KeyDigestUtils;
import org.coltsfootquay.settings.SettingsException;

/** Measures the size of a configuration snapshot and the time to read it, over backend servers and workspaces. */
final class ConfigurationProbe {

    private static final int MODELS = 7;
    private static final int ZONES = 5;
    private static final double TARGET_SERVERS = 1_600;
    private static final int TARGET_WORKSPACES = 290;
    private static final int READ_REPEATS = 5;

    private ConfigurationProbe() {}

    static FleetConfiguration configuration(int servers, int workspaces) {
        Map<ZoneName, Zone> zones = new LinkedHashMap<>();
        for (int i = 0; i < ZONES; i++) {
            ZoneName zone = new ZoneName("zone-" + i);
            zones.put(zone, new Zone(zone, new RegionName("region-" + i % 2), AdministrativeState.IN_SERVICE));
        }
        Map<ServiceName, Service> services = new LinkedHashMap<>();
        Map<ClassOfWorkName, ClassOfWork> classes = new LinkedHashMap<>();
        for (int i = 0; i < MODELS; i++) {
            ServiceName service = new ServiceName("model-" + i);
            services.put(service, new Service(service, ServiceKind.MODEL));
            ClassOfWorkName name = new ClassOfWorkName("class-" + i);
            LatencyTarget target = new LatencyTarget(
                    Optional.of(Duration.ofMillis(900)), Optional.of(Duration.ofMillis(57)), Optional.empty());
            classes.put(name, new ClassOfWork(name, service, target, Duration.ofSeconds(30), true, List.of(), true));
        }
        Map<ServerName, BackendServer> byName = new LinkedHashMap<>();
        for (int i = 0; i < servers; i++) {
            ServerName name = new ServerName("engine-" + i);
            byName.put(
                    name,
                    new BackendServer(
                            name,
                            new ServiceName("model-" + i % MODELS),
                            new ZoneName("zone-" + i % ZONES),
                            "10.0." + i / 250 + "." + (1 + i % 250) + ":8000",
                            i % 2 == 0,
                            AdministrativeState.IN_SERVICE));
        }
        Map<WorkspaceId, Workspace> tenants = new LinkedHashMap<>();
        for (int i = 0; i < workspaces; i++) {
            WorkspaceId id = new WorkspaceId("workspace-" + i);
            tenants.put(id, new Workspace(id, List.of(KeyDigestUtils.digest("key-" + i)), Map.of()));
        }
        return new FleetConfiguration(1, zones, services, byName, classes, tenants);
    }

    static List<Slope> measure() throws SettingsException {
        List<Slope.Point> plain = new ArrayList<>();
        List<Slope.Point> packed = new ArrayList<>();
        List<Slope.Point> millis = new ArrayList<>();
        for (int servers : new int[] {25, 100, 400, 1_600}) {
            String text = FleetConfigurationWriter.write(configuration(servers, TARGET_WORKSPACES));
            plain.add(new Slope.Point(servers, text.length()));
            packed.add(new Slope.Point(servers, compressed(text)));
            FleetConfigurationReader.read("warm-up", text);
            long begin = System.nanoTime();
            for (int i = 0; i < READ_REPEATS; i++) {
                FleetConfigurationReader.read("probe", text);
            }
            millis.add(new Slope.Point(servers, (System.nanoTime() - begin) / 1e6 / READ_REPEATS));
        }
        return List.of(
                new Slope("configuration snapshot", "servers (290 workspaces)", "bytes", plain, TARGET_SERVERS),
                new Slope("configuration snapshot, gzip", "servers (290 workspaces)", "bytes", packed, TARGET_SERVERS),
                new Slope("reading a snapshot", "servers (290 workspaces)", "ms", millis, TARGET_SERVERS));
    }

    private static int compressed(String text) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
            gzip.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.size();
    }
}
