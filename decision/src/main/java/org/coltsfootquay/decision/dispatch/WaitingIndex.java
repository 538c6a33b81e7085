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
final class WaitingIndex {

    private final Map<RequestId, WaitingRequest> byRequest = new HashMap<>();
    private final Map<RouterId, Set<WaitingRequest>> byEntry = new HashMap<>();
    private final TreeSet<WaitingRequest> byArrival = new TreeSet<>(WaitingRequest.BY_ARRIVAL);
    private final TreeSet<WaitingRequest> byPatience =
            new TreeSet<>(Comparator.<WaitingRequest>comparingLong(entry -> entry.request.patienceEndNanos())
                    .thenComparingLong(entry -> entry.sequence));

    void add(WaitingRequest entry) {
        byRequest.put(entry.request.attempt().request(), entry);
        byEntry.computeIfAbsent(entry.request.entry(), router -> new LinkedHashSet<>())
                .add(entry);
        byArrival.add(entry);
        byPatience.add(entry);
    }

    void remove(WaitingRequest entry) {
        byRequest.remove(entry.request.attempt().request());
        RouterId router = entry.request.entry();
        Set<WaitingRequest> ofEntry = byEntry.get(router);
        ofEntry.remove(entry);
        if (ofEntry.isEmpty()) {
            byEntry.remove(router);
        }
        byArrival.remove(entry);
        byPatience.remove(entry);
    }

    WaitingRequest get(RequestId request) {
        return byRequest.get(request);
    }

    List<WaitingRequest> of(RouterId entry) {
        return List.copyOf(byEntry.getOrDefault(entry, Set.of()));
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
        boolean any = !byPatience.isEmpty() && byPatience.first().request.patienceEndNanos() <= nowNanos;
        return any ? byPatience.first() : null;
    }

    int size() {
        return byArrival.size();
    }
}
