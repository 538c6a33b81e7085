package org.coltsfootquay.router.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.settings.SettingsException;
import org.coltsfootquay.settings.SettingsProblem;
import org.coltsfootquay.settings.SettingsReader;
import org.junit.jupiter.api.Test;

/** Guards against partly read configurations, lossy round trips, and invalid references that are accepted. */
final class FleetConfigurationReaderTest {

    private static final Path EXAMPLES = Path.of("..", "config", "examples");

    private static final String INVALID_CONFIGURATION = """
            {
              "zones": [{"name": "z1", "region": "r"}, {"name": "z1", "region": "r"}],
              "services": [{"name": "m", "kind": "model"}, {"name": "a", "kind": "other"}],
              "servers": [{"name": "s1", "service": "x", "zone": "z9", "address": "host:1", "weight": 3}],
              "classes": [{"name": "c", "service": "m", "target": {}, "patience": "soon", "idempotent": false}],
              "workspaces": [{"id": "w", "keys": ["secret"], "reservedUnitsPerSecond": {"y": 0}}]
            }
            """;

    private static String exampleText() throws IOException {
        return Files.readString(EXAMPLES.resolve("ritningsarkivet.json"));
    }

    @Test
    void exampleIsReadCompletely() throws Exception {
        FleetConfiguration configuration = FleetConfigurationReader.read("example", exampleText());

        assertEquals(3, configuration.zones().size());
        assertEquals(4, configuration.classes().size());
        assertEquals(2, configuration.serversOf(new ServiceName("lm-ritning")).size());
        assertTrue(configuration.admitsWork(new ServerName("engine-1")));
        assertEquals(
                400,
                configuration
                        .workspaces()
                        .get(new WorkspaceId("field-service"))
                        .reserved(new ServiceName("lm-ritning")));
    }

    @Test
    void writtenConfigurationIsReadBackUnchanged() throws Exception {
        FleetConfiguration configuration = FleetConfigurationReader.read("example", exampleText());
        assertEquals(
                configuration, FleetConfigurationReader.read("copy", FleetConfigurationWriter.write(configuration)));
    }

    @Test
    void allProblemsAreReportedAtOnce() {
        SettingsException e = assertThrows(
                SettingsException.class, () -> FleetConfigurationReader.read("bad", INVALID_CONFIGURATION));
        List<String> paths = e.problems().stream().map(SettingsProblem::path).toList();
        for (String path : List.of(
                "zones[1]",
                "services[1].kind",
                "servers[0].service",
                "servers[0].zone",
                "servers[0].address",
                "servers[0].weight",
                "classes[0].target",
                "classes[0].patience",
                "classes[0]",
                "workspaces[0].keys",
                "workspaces[0].reservedUnitsPerSecond.y",
                "workspaces[0].reservedUnitsPerSecond",
                "classes")) {
            assertTrue(paths.contains(path), path + " is missing in " + paths);
        }
    }

    @Test
    void messagesDoNotContainAKey() {
        SettingsException e = assertThrows(
                SettingsException.class, () -> FleetConfigurationReader.read("bad", INVALID_CONFIGURATION));
        assertFalse(e.getMessage().contains("secret"), e.getMessage());
    }

    @Test
    void exampleRouterSettingsAreRead() throws Exception {
        RouterSettings settings = SettingsReader.readFile(EXAMPLES.resolve("router-1.json"), RouterSettings::read);
        assertEquals(RouterSettings.Timing.DEFAULT, settings.timing());
    }
}
