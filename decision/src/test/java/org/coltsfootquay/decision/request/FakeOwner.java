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

    static final long MILLI = 1_000_000L;
    private static final long RETRY_NANOS = 100 * MILLI;

    final RouterId id;
    final List<FakeServer> servers;
    final Map<RequestAttempt, FakeServer> granted = new HashMap<>();
    final List<RequestEvent.OfAttempt> sent = new ArrayList<>();
    private final Map<RequestAttempt, RequestAction.EnqueueAtOwner> waiting = new HashMap<>();
    private final RequestWorld world;
    long downUntil;
    long slowUntil;

    FakeOwner(String id, List<FakeServer> servers, RequestWorld world) {
        this.id = new RouterId(id);
        this.servers = servers;
        this.world = world;
    }

    void enqueue(RequestWorld.Entry entry, RequestAction.EnqueueAtOwner enqueue) {
        if (world.now < downUntil) {
            world.after(1, () -> entry.deliver(enqueue.attempt().request(), new RequestEvent.OwnerLost(id)));
            return;
        }
        waiting.put(enqueue.attempt(), enqueue);
        reply(entry, new RequestEvent.OwnerQueued(enqueue.attempt(), Duration.ofMillis(10)), 1);
        long patienceEnd = world.now + enqueue.patience().toNanos();
        world.after(8, () -> grant(entry, enqueue, patienceEnd));
    }

    void release(RequestAttempt attempt) {
        waiting.remove(attempt);
        granted.remove(attempt);
    }

    void preempt(RequestWorld.Entry entry, RequestAttempt attempt) {
        if (granted.containsKey(attempt)) {
            reply(entry, new RequestEvent.OwnerPreempted(attempt), 1);
        }
    }

    void redirect(RequestWorld.Entry entry, RequestAttempt attempt, RouterId to) {
        if (waiting.remove(attempt) != null) {
            reply(entry, new RequestEvent.OwnerRedirected(attempt, to), 1);
        }
    }

    void crash(long untilNanos) {
        downUntil = untilNanos;
        waiting.clear();
        granted.clear();
    }

    void entryLost(RequestWorld.Entry entry) {
        waiting.keySet().removeIf(attempt -> entry.knows(attempt.request()));
        granted.keySet().removeIf(attempt -> entry.knows(attempt.request()));
    }

    private void grant(RequestWorld.Entry entry, RequestAction.EnqueueAtOwner enqueue, long patienceEnd) {
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
        } else if (world.now >= patienceEnd) {
            waiting.remove(attempt);
            RequestEvent.OfAttempt refused =
                    new RequestEvent.OwnerRefused(attempt, RefusalCode.PATIENCE_EXCEEDED, Duration.ofSeconds(1));
            reply(entry, refused, 1);
        } else {
            world.afterNanos(RETRY_NANOS, () -> grant(entry, enqueue, patienceEnd));
        }
    }

    private void reply(RequestWorld.Entry entry, RequestEvent.OfAttempt event, long millis) {
        long delay = world.now < slowUntil ? 3_000 : millis;
        sent.add(event);
        long downThen = downUntil;
        world.after(delay, () -> {
            if (downThen == downUntil) {
                entry.deliver(event.attempt().request(), event);
            }
        });
    }
}
