package org.coltsfootquay.decision.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards G3, G4, G8 and G10, and progress afterwards, against each fault at each control step, alone and in pairs. */
final class ControlFaultMatrixTest {

    static Stream<Arguments> cells() {
        return Stream.of(ControlStep.values())
                .flatMap(step -> Stream.of(ControlFault.values()).map(fault -> Arguments.of(step, fault)));
    }

    @ParameterizedTest
    @MethodSource("cells")
    void faultAloneAndFollowedByEachOther(ControlStep step, ControlFault fault) {
        List<String> failed = new ArrayList<>();
        for (List<ControlFault> faults : combinations(fault)) {
            FaultMatrixCell cell = new FaultMatrixCell(step, faults);
            List<String> failures = cell.run();
            if (cell.startedFaults() != faults.size() || !failures.isEmpty()) {
                failed.add(step + " " + faults + ", " + cell.startedFaults() + " faults begun: " + failures);
            }
        }
        assertEquals(List.of(), failed);
    }

    @Test
    void publishedTableShowsTheCellsOfThisSuite() throws IOException {
        Path page = Path.of(System.getProperty("basedir", "."), "..", "docs", "fault-matrix.md");
        if (Boolean.getBoolean("faultMatrix.write")) {
            Files.writeString(page, table());
        }
        assertTrue(Files.exists(page), "docs/fault-matrix.md is missing; run with -DfaultMatrix.write=true");
        assertEquals(table(), Files.readString(page), "run with -DfaultMatrix.write=true");
    }

    /** Returns the fault alone, and followed by each fault that stands after it in the list. */
    private static List<List<ControlFault>> combinations(ControlFault fault) {
        List<List<ControlFault>> combinations = new ArrayList<>();
        combinations.add(List.of(fault));
        for (ControlFault second : ControlFault.values()) {
            if (second.compareTo(fault) > 0) {
                combinations.add(List.of(fault, second));
            }
        }
        return combinations;
    }

    private static String table() {
        StringBuilder text = new StringBuilder("""
                # Fault matrix of the control part

                `ControlFaultMatrixTest` writes this table from its own cells (`-DfaultMatrix.write=true`) and fails
                when they differ. In each cell five routers with real controllers share a simulated store. The fault
                begins just before the step; in a pair the second fault begins 1.5 s later. Faults last 14 s, longer
                than a lease. The invariants G3, G4, G8 and G10 are checked after each 50 ms of simulated time. After
                the faults the step must be done and the fleet settled within 3 minutes. A cell names the number of
                runs: the fault alone and followed by each fault to the right of it.

                """);
        text.append("| step |");
        StringBuilder line = new StringBuilder("|---|");
        for (ControlFault fault : ControlFault.values()) {
            text.append(' ').append(words(fault)).append(" |");
            line.append("---|");
        }
        text.append('\n').append(line).append('\n');
        for (ControlStep step : ControlStep.values()) {
            text.append("| ").append(words(step)).append(" |");
            for (ControlFault fault : ControlFault.values()) {
                text.append(' ').append(combinations(fault).size()).append(" |");
            }
            text.append('\n');
        }
        return text.toString();
    }

    private static String words(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
