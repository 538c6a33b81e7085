package org.coltsfootquay.decision.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.RouterId;

/** Waiting requests of all workspaces, found by request, entry router, arrival and end of patience. */
final class WaitingRequestIndex {

    private final Map<RequestId, WaitingRequest> byRequest = new HashMap<>();
    private final Map<RouterId, Set<WaitingRequest>> byEntryRouter = new HashMap<>();
    private final TreeSet<WaitingRequest> byArrival = new TreeSet<>(WaitingRequest.BY_ARRIVAL);
    private final TreeSet<WaitingRequest> byPatienceEnd =
            new TreeSet<>(Comparator.<WaitingRequest>comparingLong(entry -> entry.request.patienceEndNanos())
                    .thenComparingLong(entry -> entry.sequence));

    void add(WaitingRequest entry) {
        byRequest.put(entry.request.attempt().request(), entry);
        byEntryRouter.computeIfAbsent(entry.request.entryRouter(), router -> new LinkedHashSet<>())
                .add(entry);
        byArrival.add(entry);
        byPatienceEnd.add(entry);
    }

    void remove(WaitingRequest entry) {
        byRequest.remove(entry.request.attempt().request());
        RouterId router = entry.request.entryRouter();
        Set<WaitingRequest> ofEntry = byEntryRouter.get(router);
        ofEntry.remove(entry);
        if (ofEntry.isEmpty()) {
            byEntryRouter.remove(router);
        }
        byArrival.remove(entry);
        byPatienceEnd.remove(entry);
    }

    WaitingRequest get(RequestId request) {
        return byRequest.get(request);
    }

    List<WaitingRequest> ofEntryRouter(RouterId entry) {
        return List.copyOf(byEntryRouter.getOrDefault(entry, Set.of()));
    }

    List<WaitingRequest> all() {
        return List.copyOf(byArrival);
    }

    /** Returns the request that waits longest, or null. */
    WaitingRequest oldest() {
        return byArrival.isEmpty() ? null : byArrival.first();
    }

    /** Returns a request whose patience has ended, or null. */
    WaitingRequest expired(long nowNanos) {
        boolean any = !byPatienceEnd.isEmpty() && byPatienceEnd.first().request.patienceEndNanos() <= nowNanos;
        return any ? byPatienceEnd.first() : null;
    }

    int size() {
        return byArrival.size();
    }
}
