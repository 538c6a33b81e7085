package org.coltsfootquay.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import org.coltsfootquay.decision.request.RequestSimulation.Kind;
import org.coltsfootquay.decision.request.RequestSimulation.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards G5, G6 and G7 against each fault at each step of a request, alone and in pairs. */
final class RequestFaultMatrixTest {

    private static final long SEED = 20261204;

    private static final String INTRODUCTION = """
            # Fault matrix of requests

            Written by `mvn -B -ntp -pl decision -am verify -Dtest=RequestFaultMatrixTest
            -Dsurefire.failIfNoSpecifiedTests=false -DfaultMatrix.write=true`; the same test fails when this page is out
            of date.

            A cell states how the request of the first caller ended, and how often its request was executed by a fake
            backend server. Idempotent requests may run more than once. `streamed` means that the caller receives the
            answer in parts. `gone` and `connection broken` are endings on the caller's side. For bookings
            the second part states how a later retry with the same key at another router ended; `ran` then counts all
            executions for the key. Pairs of faults, at one step and at two, are checked by the same test without a
            table.
            """;

    static Stream<Arguments> cells() {
        return Stream.of(Kind.values())
                .flatMap(kind -> Stream.of(Step.values())
                        .filter(step -> applies(kind, step))
                        .map(step -> Arguments.of(kind, step)));
    }

    /** Only bookings have a record; they connect when it is written. */
    private static boolean applies(Kind kind, Step step) {
        boolean ofRecord = step == Step.RECORD_BEING_WRITTEN || step == Step.RECORD_WRITTEN;
        return kind.booking() ? step != Step.CONNECTING : !ofRecord;
    }

    @ParameterizedTest
    @MethodSource("cells")
    void eachFaultAlone(Kind kind, Step step) {
        for (RequestFault fault : RequestFault.values()) {
            FaultInjectionRun run = run(kind, Map.of(step, List.of(fault)));
            assertEquals(1, run.injected(), "empty cell: " + kind + " " + step + " " + fault);
            assertEquals(List.of(), run.failures, kind + " " + step + " " + fault);
        }
    }

    @ParameterizedTest
    @MethodSource("cells")
    void eachPairAtOneStep(Kind kind, Step step) {
        List<String> failed = new ArrayList<>();
        for (RequestFault one : RequestFault.values()) {
            for (RequestFault two : RequestFault.values()) {
                FaultInjectionRun run = run(kind, Map.of(step, List.of(one, two)));
                if (run.injected() != 2 || !run.failures.isEmpty()) {
                    failed.add(one + " + " + two + ": " + run.failures);
                }
            }
        }
        assertEquals(List.of(), failed, kind + " " + step);
    }

    @ParameterizedTest
    @MethodSource("cells")
    void eachPairAtTwoSteps(Kind kind, Step step) {
        List<String> failed = new ArrayList<>();
        for (Step later : Step.values()) {
            if (later.compareTo(step) <= 0 || !applies(kind, later)) {
                continue;
            }
            for (RequestFault one : RequestFault.values()) {
                for (RequestFault two : RequestFault.values()) {
                    // The first fault may end the request before the later step; the cell then repeats the single one.
                    FaultInjectionRun run = run(kind, Map.of(step, List.of(one), later, List.of(two)));
                    if (run.injected() == 0 || !run.failures.isEmpty()) {
                        failed.add(one + " then " + two + " at " + later + ": " + run.failures);
                    }
                }
            }
        }
        assertEquals(List.of(), failed, kind + " " + step);
    }

    /** Writes the page when {@code -DfaultMatrix.write=true} is given, else guards against a page out of date. */
    @Test
    void pageShowsTheMatrix() throws IOException {
        Path page = Path.of(System.getProperty("basedir", "."), "..", "docs", "fault-matrix-requests.md");
        String text = page();
        if (Boolean.getBoolean("faultMatrix.write")) {
            Files.writeString(page, text);
        }
        assertTrue(Files.exists(page), "docs/fault-matrix-requests.md is missing; run with -DfaultMatrix.write=true");
        assertEquals(text, Files.readString(page), "page is out of date; run with -DfaultMatrix.write=true");
    }

    private static FaultInjectionRun run(Kind kind, Map<Step, List<RequestFault>> plan) {
        return new FaultInjectionRun(kind, plan, FlowAdapter.Factory.real(), SEED);
    }

    private static String page() {
        StringBuilder text = new StringBuilder(INTRODUCTION);
        for (Kind kind : Kind.values()) {
            List<Step> steps =
                    Stream.of(Step.values()).filter(step -> applies(kind, step)).toList();
            text.append("\n## ").append(words(kind)).append("\n\n| fault |");
            steps.forEach(step -> text.append(' ').append(words(step)).append(" |"));
            text.append("\n|---|").append("---|".repeat(steps.size())).append('\n');
            for (RequestFault fault : RequestFault.values()) {
                text.append("| ").append(words(fault)).append(" |");
                for (Step step : steps) {
                    text.append(' ').append(cell(kind, step, fault)).append(" |");
                }
                text.append('\n');
            }
        }
        return text.toString();
    }

    private static String cell(Kind kind, Step step, RequestFault fault) {
        FaultInjectionRun run = run(kind, Map.of(step, List.of(fault)));
        if (kind.booking()) {
            int ran = run.world.executionsByKey.getOrDefault("key", 0);
            return run.caller.outcome() + "; retry: " + run.lastCaller().outcome() + "; ran " + ran;
        }
        return run.caller.outcome() + "; ran " + run.executions();
    }

    private static String words(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
