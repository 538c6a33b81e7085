package org.coltsfootquay.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against wrong exit codes and errors without a remedy. */
final class CommandRunnerTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    private Path folder;

    private int run(String... arguments) {
        Console console = new Console(
                new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
        return new CommandRunner(Main.commands(), console, "1.0").run(arguments);
    }

    private String errors() {
        return err.toString(StandardCharsets.UTF_8);
    }

    @Test
    void unknownCommandIsAUsageErrorThatListsTheCommands() {
        assertEquals(2, run("foo"));
        assertTrue(errors().contains("quickstart"), errors());
    }

    @Test
    void everyCommandPrintsHelpAndVersion() {
        for (Command command : Main.commands()) {
            assertEquals(0, run(command.name(), "--help"), command.name());
            assertEquals(0, run(command.name(), "--version"), command.name());
        }
        assertTrue(out.toString(StandardCharsets.UTF_8).contains("coltsfootquay 1.0"));
    }

    @Test
    void unknownOptionIsAUsageError() {
        assertEquals(2, run("quickstart", "--speed", "3"));
        assertTrue(errors().contains("--speed"), errors());
    }

    @Test
    void settingsWithTenMistakesListAllOfThem() throws IOException {
        Path file = folder.resolve("router.json");
        Files.writeString(file, """
                {"id": "BAD ID", "zone": 3, "callerAddress": "host", "peerAddress": "127.0.0.1:99999",
                 "platformAddress": "", "fleetKey": "short", "operatorKeys": ["plain"], "colour": "red",
                 "timing": {"leaseTimeToLive": "3s", "leaseRenewPeriod": "2s"}}
                """);
        assertEquals(2, run("router", "--settings", file.toString()));
        assertTrue(errors().contains("has 10 mistake(s)"), errors());
    }

    @Test
    void missingSettingsFileIsAUsageError() {
        assertEquals(2, run("router", "--settings", folder.resolve("none.json").toString()));
        assertTrue(errors().contains("pass the path of a readable UTF-8 file"), errors());
    }

    @Test
    void unreachableRouterIsAFailure() {
        assertEquals(1, run("addresses", "--router", "127.0.0.1:1"));
        assertTrue(errors().contains("try another address"), errors());
    }
}
