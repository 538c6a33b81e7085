package org.coltsfootquay.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Guards against errors in a settings file that are reported one at a time, without a path or not at all. */
final class SettingsReaderTest {

    private static final String TEN_ERRORS = """
            {
              // comments are allowed
              "name": "Bad Name",
              "address": "example.org:80",
              "count": -1,
              "enabled": "yes",
              "wait": "5 minutes",
              "nested": {"number": 1.5, "extra": 1},
              "list": [{"name": 3}, "text"],
              "unknown": 1
            }
            """;

    private static String readAll(SettingsObject root) {
        root.name("name");
        root.address("address");
        root.number("count", 0, 10);
        root.flag("enabled", false);
        root.duration("wait");
        root.object("nested", nested -> nested.number("number", 0, 10));
        root.objects("list", entry -> entry.name("name"));
        return "";
    }

    @Test
    void reportsAllErrorsTogether() {
        SettingsException e = assertThrows(
                SettingsException.class, () -> SettingsReader.read("f.json", TEN_ERRORS, SettingsReaderTest::readAll));
        List<String> paths = e.problems().stream().map(SettingsProblem::path).toList();
        assertEquals(
                List.of(
                        "name",
                        "address",
                        "count",
                        "enabled",
                        "wait",
                        "nested.number",
                        "list[0].name",
                        "list[1]",
                        "unknown",
                        "nested.extra"),
                paths);
        assertTrue(e.problems().stream().noneMatch(problem -> problem.remedy().isBlank()));
    }

    @Test
    void syntaxErrorNamesLineAndColumn() {
        SettingsException e = assertThrows(
                SettingsException.class, () -> SettingsReader.read("f.json", "{\n \"a\" 1}", root -> root));
        assertTrue(e.getMessage().contains("line 2"), e.getMessage());
    }

    @Test
    void duplicateFieldIsRejected() {
        assertThrows(
                SettingsException.class,
                () -> SettingsReader.read("f.json", "{\"a\": 1, \"a\": 2}", root -> root.number("a", 0, 9)));
    }

    @Test
    void commentsAreAllowed() throws SettingsException {
        assertEquals(7L, (long) SettingsReader.read("f.json", "{/* n */ \"a\": 7}", root -> root.number("a", 0, 9)));
    }

    @Property(seed = "20261204", tries = 200)
    void formattedDurationIsParsedBack(@ForAll @LongRange(min = 0, max = 100_000_000) long millis) {
        Duration duration = Duration.ofMillis(millis);
        assertEquals(Optional.of(duration), DurationUtils.parse(DurationUtils.format(duration)));
    }
}
