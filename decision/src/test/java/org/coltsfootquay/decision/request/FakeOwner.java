package org.coltsfootquay.decision.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.dispatch.RefusalCode;

/** Simulated owner that queues each attempt for 8 ms and then grants it the first of its servers that admits work. */
final class FakeOwner {

    static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long RETRY_INTERVAL_NANOS = 100 * NANOS_PER_MILLI;

    final RouterId id;
    final List<FakeServer> servers;
    final Map<RequestAttempt, FakeServer> granted = new HashMap<>();
    final List<RequestEvent.AttemptEvent> sentEvents = new ArrayList<>();
    private final Map<RequestAttempt, RequestAction.EnqueueAtOwner> waiting = new HashMap<>();
    private final RequestSimulation simulation;
    long downUntilNanos;
    long slowUntilNanos;

    FakeOwner(String id, List<FakeServer> servers, RequestSimulation simulation) {
        this.id = new RouterId(id);
        this.servers = servers;
        this.simulation = simulation;
    }

    void enqueue(RequestSimulation.FakeRouter router, RequestAction.EnqueueAtOwner enqueue) {
        if (simulation.nowNanos < downUntilNanos) {
            simulation.schedule(1, () -> router.deliver(enqueue.attempt().request(), new RequestEvent.OwnerLost(id)));
            return;
        }
        waiting.put(enqueue.attempt(), enqueue);
        reply(router, new RequestEvent.OwnerQueued(enqueue.attempt(), Duration.ofMillis(10)), 1);
        long patienceEnd = simulation.nowNanos + enqueue.patience().toNanos();
        simulation.schedule(8, () -> grant(router, enqueue, patienceEnd));
    }

    void release(RequestAttempt attempt) {
        waiting.remove(attempt);
        granted.remove(attempt);
    }

    void preempt(RequestSimulation.FakeRouter router, RequestAttempt attempt) {
        if (granted.containsKey(attempt)) {
            reply(router, new RequestEvent.OwnerPreempted(attempt), 1);
        }
    }

    void redirect(RequestSimulation.FakeRouter router, RequestAttempt attempt, RouterId newOwner) {
        if (waiting.remove(attempt) != null) {
            reply(router, new RequestEvent.OwnerRedirected(attempt, newOwner), 1);
        }
    }

    void crash(long untilNanos) {
        downUntilNanos = untilNanos;
        waiting.clear();
        granted.clear();
    }

    void routerLost(RequestSimulation.FakeRouter router) {
        waiting.keySet().removeIf(attempt -> router.knows(attempt.request()));
        granted.keySet().removeIf(attempt -> router.knows(attempt.request()));
    }

    private void grant(RequestSimulation.FakeRouter router, RequestAction.EnqueueAtOwner enqueue, long patienceEnd) {
        RequestAttempt attempt = enqueue.attempt();
        if (!waiting.containsKey(attempt)) {
            return;
        }
        List<FakeServer> usable = servers.stream()
                .filter(server -> !enqueue.excludedServers().contains(server.name))
                .toList();
        List<FakeServer> admitting = usable.stream()
                .filter(server -> simulation.configuration.admitsWork(server.name))
                .toList();
        if (usable.isEmpty()) {
            waiting.remove(attempt);
            reply(router, new RequestEvent.OwnerRefused(attempt, RefusalCode.NOT_OWNER, Duration.ZERO), 1);
        } else if (!admitting.isEmpty()) {
            waiting.remove(attempt);
            FakeServer server = admitting.get(0);
            granted.put(attempt, server);
            Duration startTimeout = Duration.ofMillis(500);
            reply(
                    router,
                    new RequestEvent.OwnerGranted(
                            id,
                            attempt,
                            server.name,
                            "127.0.0.1:1",
                            simulation.ownerFencing(server),
                            startTimeout,
                            Duration.ZERO),
                    1);
        } else if (simulation.nowNanos >= patienceEnd) {
            waiting.remove(attempt);
            RequestEvent.AttemptEvent refused =
                    new RequestEvent.OwnerRefused(attempt, RefusalCode.PATIENCE_EXCEEDED, Duration.ofSeconds(1));
            reply(router, refused, 1);
        } else {
            simulation.scheduleNanos(RETRY_INTERVAL_NANOS, () -> grant(router, enqueue, patienceEnd));
        }
    }

    private void reply(RequestSimulation.FakeRouter router, RequestEvent.AttemptEvent event, long millis) {
        long delay = simulation.nowNanos < slowUntilNanos ? 3_000 : millis;
        sentEvents.add(event);
        long downUntilAtSend = downUntilNanos;
        simulation.schedule(delay, () -> {
            if (downUntilAtSend == downUntilNanos) {
                router.deliver(event.attempt().request(), event);
            }
        });
    }
}
