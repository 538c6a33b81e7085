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

/** Waiting requests of all workspaces, indexed by request, entry router, arrival and end of patience. */
final class WaitingRequestIndex {

    private final Map<RequestId, WaitingRequest> byRequest = new HashMap<>();
    private final Map<RouterId, Set<WaitingRequest>> byEntryRouter = new HashMap<>();
    private final TreeSet<WaitingRequest> byArrival = new TreeSet<>(WaitingRequest.BY_ARRIVAL);
    private final TreeSet<WaitingRequest> byPatienceEnd = new TreeSet<>(
            Comparator.<WaitingRequest>comparingLong(waitingRequest -> waitingRequest.request.patienceEndNanos())
                    .thenComparingLong(waitingRequest -> waitingRequest.sequence));

    void add(WaitingRequest waitingRequest) {
        byRequest.put(waitingRequest.request.attempt().request(), waitingRequest);
        byEntryRouter
                .computeIfAbsent(waitingRequest.request.entryRouter(), router -> new LinkedHashSet<>())
                .add(waitingRequest);
        byArrival.add(waitingRequest);
        byPatienceEnd.add(waitingRequest);
    }

    void remove(WaitingRequest waitingRequest) {
        byRequest.remove(waitingRequest.request.attempt().request());
        RouterId entryRouter = waitingRequest.request.entryRouter();
        Set<WaitingRequest> ofRouter = byEntryRouter.get(entryRouter);
        ofRouter.remove(waitingRequest);
        if (ofRouter.isEmpty()) {
            byEntryRouter.remove(entryRouter);
        }
        byArrival.remove(waitingRequest);
        byPatienceEnd.remove(waitingRequest);
    }

    WaitingRequest get(RequestId request) {
        return byRequest.get(request);
    }

    List<WaitingRequest> ofEntryRouter(RouterId entryRouter) {
        return List.copyOf(byEntryRouter.getOrDefault(entryRouter, Set.of()));
    }

    List<WaitingRequest> all() {
        return List.copyOf(byArrival);
    }

    /** Returns the request that has waited longest, or null if none is waiting. */
    WaitingRequest oldest() {
        return byArrival.isEmpty() ? null : byArrival.first();
    }

    /** Returns a request whose patience has expired, or null if there is none. */
    WaitingRequest expired(long nowNanos) {
        boolean any = !byPatienceEnd.isEmpty() && byPatienceEnd.first().request.patienceEndNanos() <= nowNanos;
        return any ? byPatienceEnd.first() : null;
    }

    int size() {
        return byArrival.size();
    }
}
