package org.coltsfootquay.standin.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.coltsfootquay.settings.SettingsException;
import org.coltsfootquay.settings.SettingsProblem;
import org.coltsfootquay.settings.SettingsReader;
import org.coltsfootquay.standin.application.ApplicationSettings;
import org.coltsfootquay.standin.engine.EngineSettings;
import org.coltsfootquay.standin.platform.PlatformSettings;
import org.junit.jupiter.api.Test;

/** Guards against settings that are accepted in part or reported one mistake at a time. */
final class SettingsJsonTest {

    @Test
    void writtenSettingsAreReadBack() throws Exception {
        for (Record settings :
                List.of(EngineSettings.defaults(), ApplicationSettings.defaults(), PlatformSettings.defaults())) {
            String json = SettingsJson.write(settings).toString();

            assertEquals(settings, SettingsReader.read("test", json, object -> SettingsJson.read(object, settings)));
        }
    }

    @Test
    void allMistakesAreListedAtOnce() throws Exception {
        String json = "{\"knee\": 0, \"capcity\": 4, \"coldFails\": \"yes\", \"tokenIntervalMillis\": 0.5}";

        SettingsException report = assertThrows(
                SettingsException.class,
                () -> SettingsReader.read("test", json, object -> SettingsJson.read(object, EngineSettings.fast())));

        assertEquals(
                List.of("coldFails", "knee", "tokenIntervalMillis", "capcity"),
                report.problems().stream().map(SettingsProblem::path).toList());
    }
}
