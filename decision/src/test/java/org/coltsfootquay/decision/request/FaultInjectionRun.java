package org.coltsfootquay.decision.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.coltsfootquay.decision.request.RequestSimulation.Kind;
import org.coltsfootquay.decision.request.RequestSimulation.Step;

/** One run of the simulation with faults at steps of the first caller's request, and the failures found in it. */
final class FaultInjectionRun {

    final RequestSimulation simulation;
    final FakeCaller caller;
    final List<String> failures = new ArrayList<>();
    private final Map<Step, List<RequestFault>> plan;
    private int injected;

    FaultInjectionRun(Kind kind, Map<Step, List<RequestFault>> plan, FlowAdapter.Factory flows, long seed) {
        this.simulation = new RequestSimulation(kind, flows, seed);
        this.plan = new TreeMap<>(plan);
        FakeCaller[] holder = new FakeCaller[1];
        simulation.onStep((step, request) -> {
            FakeCaller firstCaller = holder[0] == null ? simulation.callers.get(0) : holder[0];
            List<RequestFault> faults = request.equals(firstCaller.request.id()) ? this.plan.remove(step) : null;
            if (faults != null) {
                // The faults take effect after the actions of the step and before their consequences.
                faults.forEach(fault -> {
                    fault.inject(simulation, firstCaller);
                    injected++;
                });
            }
        });
        holder[0] = simulation.submitRequest(simulation.firstRouter);
        this.caller = holder[0];
        simulation.run();
        check();
        if (kind.booking()) {
            simulation.submitRequest(simulation.secondRouter);
            simulation.run();
            check();
        }
    }

    int injected() {
        return injected;
    }

    int executions() {
        return simulation.executions.getOrDefault(caller.request.id(), 0);
    }

    FakeCaller lastCaller() {
        return simulation.callers.get(simulation.callers.size() - 1);
    }

    private void check() {
        failures.addAll(simulation.failures);
        simulation.violations.forEach(violation -> failures.add(violation.toString()));
        for (FakeCaller each : simulation.callers) {
            String id = each.request.id().value();
            failures.addAll(each.failures);
            int ran = simulation.executions.getOrDefault(each.request.id(), 0);
            if (each.outcome().isEmpty()) {
                failures.add("G5: no end of the response to " + id);
            }
            if (each.isComplete() && !each.received().equals(simulation.expectedBody())) {
                failures.add("G5: complete response to " + id + " is " + each.received());
            }
            if (!simulation.expectedBody().startsWith(each.received())) {
                failures.add("G5: partial response to " + id + " is " + each.received());
            }
            if (each.reportedNotRun() && ran > 0) {
                failures.add("G6: " + id + " was reported as not_run and ran " + ran + " times");
            }
        }
        if (simulation.kind.booking() && simulation.executionsByKey.getOrDefault("key", 0) > 1) {
            failures.add("G7: booking ran " + simulation.executionsByKey.get("key") + " times");
        }
        simulation.owners.forEach(owner -> {
            if (!owner.granted.isEmpty()) {
                failures.add("grants not released at " + owner.id + ": " + owner.granted.keySet());
            }
        });
        for (RequestSimulation.FakeRouter router : List.of(simulation.firstRouter, simulation.secondRouter)) {
            boolean nothingOpen = router.invariants().gracefulShutdown().checkNoOpenRequests();
            if (router.openFlowCount() != 0 || !nothingOpen) {
                failures.add("G9: open flows at " + router.id + ": " + router.openFlowCount());
            }
        }
    }
}
