package org.coltsfootquay.decision.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.coltsfootquay.decision.request.RequestSimulation.Kind;
import org.coltsfootquay.decision.request.RequestSimulation.Step;

/** One run of the test world with faults at steps of the first caller's request, and what went wrong in it. */
final class FaultInjectionRun {

    final RequestSimulation world;
    final FakeCaller caller;
    final List<String> failures = new ArrayList<>();
    private final Map<Step, List<RequestFault>> plan;
    private int injected;

    FaultInjectionRun(Kind kind, Map<Step, List<RequestFault>> plan, FlowAdapter.Factory flows, long seed) {
        this.world = new RequestSimulation(kind, flows, seed);
        this.plan = new TreeMap<>(plan);
        FakeCaller[] holder = new FakeCaller[1];
        world.onStep((step, request) -> {
            FakeCaller owner = holder[0] == null ? world.callers.get(0) : holder[0];
            List<RequestFault> faults = request.equals(owner.request.id()) ? this.plan.remove(step) : null;
            if (faults != null) {
                // After the actions of the step, before anything that they cause.
                faults.forEach(fault -> {
                    fault.inject(world, owner);
                    injected++;
                });
            }
        });
        holder[0] = world.submitRequest(world.firstRouter);
        this.caller = holder[0];
        world.run();
        check();
        if (kind.booking()) {
            world.submitRequest(world.secondRouter);
            world.run();
            check();
        }
    }

    int injected() {
        return injected;
    }

    int executions() {
        return world.executions.getOrDefault(caller.request.id(), 0);
    }

    FakeCaller lastCaller() {
        return world.callers.get(world.callers.size() - 1);
    }

    private void check() {
        failures.addAll(world.failures);
        world.violations.forEach(violation -> failures.add(violation.toString()));
        for (FakeCaller each : world.callers) {
            String id = each.request.id().value();
            failures.addAll(each.failures);
            int ran = world.executions.getOrDefault(each.request.id(), 0);
            if (each.outcome().isEmpty()) {
                failures.add("G5: no end for " + id);
            }
            if (each.isComplete() && !each.received().equals(world.expectedBody())) {
                failures.add("G5: complete answer of " + id + " is " + each.received());
            }
            if (!world.expectedBody().startsWith(each.received())) {
                failures.add("G5: part of an answer of " + id + " is " + each.received());
            }
            if (each.reportedNotRun() && ran > 0) {
                failures.add("G6: " + id + " was told not_run and ran " + ran + " times");
            }
        }
        if (world.kind.booking() && world.executionsByKey.getOrDefault("key", 0) > 1) {
            failures.add("G7: booking ran " + world.executionsByKey.get("key") + " times");
        }
        world.owners.forEach(owner -> {
            if (!owner.granted.isEmpty()) {
                failures.add("grants never ended at " + owner.id + ": " + owner.granted.keySet());
            }
        });
        for (RequestSimulation.FakeRouter entry : List.of(world.firstRouter, world.secondRouter)) {
            boolean nothingOpen = entry.invariants().gracefulShutdown().checkNoOpenRequests();
            if (entry.openFlowCount() != 0 || !nothingOpen) {
                failures.add("G9: open flows at " + entry.id + ": " + entry.openFlowCount());
            }
        }
    }
}
