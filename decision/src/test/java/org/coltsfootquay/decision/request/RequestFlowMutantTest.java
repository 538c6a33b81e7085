package org.coltsfootquay.decision.request;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.request.RequestSimulation.Kind;
import org.coltsfootquay.decision.request.RequestSimulation.Step;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against checks that see nothing: each deliberate fault must be found by the world and at run time. */
final class RequestFlowMutantTest {

    @ParameterizedTest
    @EnumSource(RequestFlowMutant.class)
    void mutantIsDetected(RequestFlowMutant mutant) {
        List<String> byWorld = new ArrayList<>();
        List<String> atRunTime = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            for (Step step : Step.values()) {
                for (RequestFault fault : RequestFault.values()) {
                    FaultInjectionRun run = new FaultInjectionRun(kind, Map.of(step, List.of(fault)), mutant.factory(), 7);
                    run.failures.stream()
                            .filter(failure -> failure.startsWith(mutant.guarantee))
                            .forEach(byWorld::add);
                    run.world.violations.stream()
                            .filter(violation ->
                                    mutant.guarantee.equals(violation.fields().get("guarantee")))
                            .forEach(violation -> atRunTime.add(violation.toString()));
                }
            }
        }
        assertTrue(!byWorld.isEmpty(), mutant + " was not found by counting executions and reading answers");
        assertTrue(!atRunTime.isEmpty(), mutant + " was not found by the run-time check of " + mutant.guarantee);
    }
}
