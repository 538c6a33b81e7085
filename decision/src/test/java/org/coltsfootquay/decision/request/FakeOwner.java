package org.coltsfootquay.decision.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.dispatch.RefusalCode;

/** Owner of the test world: queues for 8 ms, then grants on the first of its servers that admits work. */
final class FakeOwner {

    static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long RETRY_INTERVAL_NANOS = 100 * NANOS_PER_MILLI;

    final RouterId id;
    final List<FakeServer> servers;
    final Map<RequestAttempt, FakeServer> granted = new HashMap<>();
    final List<RequestEvent.AttemptEvent> sentEvents = new ArrayList<>();
    private final Map<RequestAttempt, RequestAction.EnqueueAtOwner> waiting = new HashMap<>();
    private final RequestSimulation world;
    long downUntilNanos;
    long slowUntilNanos;

    FakeOwner(String id, List<FakeServer> servers, RequestSimulation world) {
        this.id = new RouterId(id);
        this.servers = servers;
        this.world = world;
    }

    void enqueue(RequestSimulation.FakeRouter entry, RequestAction.EnqueueAtOwner enqueue) {
        if (world.nowNanos < downUntilNanos) {
            world.schedule(1, () -> entry.deliver(enqueue.attempt().request(), new RequestEvent.OwnerLost(id)));
            return;
        }
        waiting.put(enqueue.attempt(), enqueue);
        reply(entry, new RequestEvent.OwnerQueued(enqueue.attempt(), Duration.ofMillis(10)), 1);
        long patienceEnd = world.nowNanos + enqueue.patience().toNanos();
        world.schedule(8, () -> grant(entry, enqueue, patienceEnd));
    }

    void release(RequestAttempt attempt) {
        waiting.remove(attempt);
        granted.remove(attempt);
    }

    void preempt(RequestSimulation.FakeRouter entry, RequestAttempt attempt) {
        if (granted.containsKey(attempt)) {
            reply(entry, new RequestEvent.OwnerPreempted(attempt), 1);
        }
    }

    void redirect(RequestSimulation.FakeRouter entry, RequestAttempt attempt, RouterId to) {
        if (waiting.remove(attempt) != null) {
            reply(entry, new RequestEvent.OwnerRedirected(attempt, to), 1);
        }
    }

    void crash(long untilNanos) {
        downUntilNanos = untilNanos;
        waiting.clear();
        granted.clear();
    }

    void routerLost(RequestSimulation.FakeRouter entry) {
        waiting.keySet().removeIf(attempt -> entry.knows(attempt.request()));
        granted.keySet().removeIf(attempt -> entry.knows(attempt.request()));
    }

    private void grant(RequestSimulation.FakeRouter entry, RequestAction.EnqueueAtOwner enqueue, long patienceEnd) {
        RequestAttempt attempt = enqueue.attempt();
        if (!waiting.containsKey(attempt)) {
            return;
        }
        List<FakeServer> usable = servers.stream()
                .filter(server -> !enqueue.excludedServers().contains(server.name))
                .toList();
        List<FakeServer> admitting = usable.stream()
                .filter(server -> world.configuration.admitsWork(server.name))
                .toList();
        if (usable.isEmpty()) {
            waiting.remove(attempt);
            reply(entry, new RequestEvent.OwnerRefused(attempt, RefusalCode.NOT_OWNER, Duration.ZERO), 1);
        } else if (!admitting.isEmpty()) {
            waiting.remove(attempt);
            FakeServer server = admitting.get(0);
            granted.put(attempt, server);
            Duration within = Duration.ofMillis(500);
            reply(
                    entry,
                    new RequestEvent.OwnerGranted(
                            id, attempt, server.name, "127.0.0.1:1", world.ownerFencing(server), within, Duration.ZERO),
                    1);
        } else if (world.nowNanos >= patienceEnd) {
            waiting.remove(attempt);
            RequestEvent.AttemptEvent refused =
                    new RequestEvent.OwnerRefused(attempt, RefusalCode.PATIENCE_EXCEEDED, Duration.ofSeconds(1));
            reply(entry, refused, 1);
        } else {
            world.scheduleNanos(RETRY_INTERVAL_NANOS, () -> grant(entry, enqueue, patienceEnd));
        }
    }

    private void reply(RequestSimulation.FakeRouter entry, RequestEvent.AttemptEvent event, long millis) {
        long delay = world.nowNanos < slowUntilNanos ? 3_000 : millis;
        sentEvents.add(event);
        long downThen = downUntilNanos;
        world.schedule(delay, () -> {
            if (downThen == downUntilNanos) {
                entry.deliver(event.attempt().request(), event);
            }
        });
    }
}
