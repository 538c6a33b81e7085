package org.coltsfootquay.decision.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Involvement of one prompt part in one crash; not thread-safe. */
final class Involvement {

    /** Requests with the part that are kept for each crash; a crash is explained by any one of them. */
    private static final int MAX_REQUESTS = 4;

    private final Set<PartKey> requests = new HashSet<>();

    /** Time of the crash by the first report; a report that is read late makes the crash seem later. */
    private final long crashNanos;

    /** Earliest time at which the latest of the requests can have been sent. */
    private long sentNanos = Long.MIN_VALUE;

    Involvement(long crashNanos) {
        this.crashNanos = crashNanos;
    }

    /** Adds a request with the part; returns false if it is known or enough others are. */
    boolean add(PartKey request, long requestSentNanos) {
        if (requests.size() >= MAX_REQUESTS || !requests.add(request)) {
            return false;
        }
        sentNanos = requests.size() == 1 ? requestSentNanos : Math.max(sentNanos, requestSentNanos);
        return true;
    }

    long crashNanos() {
        return crashNanos;
    }

    Set<PartKey> requests() {
        return requests;
    }

    /** Adds an entry for each request with the part to a list. */
    void addTo(List<UnansweredPart> parts, PartKey part) {
        Duration sinceSend = Duration.ofNanos(Math.max(0, crashNanos - sentNanos));
        requests.forEach(request -> parts.add(new UnansweredPart(part, request, sinceSend)));
    }

    /**
     * Counts the crashes that happened one after the other: each interrupted a request that was sent after the crash
     * before, or one that the crash before had interrupted too. Servers that crash at the same moment, for example with
     * their zone, interrupt the requests of that moment and count once.
     *
     * @param involvements involvements of one part in different crashes
     * @return number of crashes in the sequence
     */
    static int countSuccessive(Collection<Involvement> involvements) {
        List<Involvement> ordered = involvements.stream()
                .sorted((a, b) -> Long.signum(a.crashNanos - b.crashNanos))
                .toList();
        Involvement last = null;
        int count = 0;
        for (Involvement next : ordered) {
            if (last == null || next.follows(last)) {
                last = next;
                count++;
            }
        }
        return count;
    }

    /**
     * Counts the different requests that are needed to explain crashes if requests cause them, not a part that they
     * share.
     *
     * @param involvements involvements of one part in different crashes
     * @return number of requests, by a greedy choice
     */
    static int countRequests(Collection<Involvement> involvements) {
        Set<Involvement> unexplained = new HashSet<>(involvements);
        int count = 0;
        while (!unexplained.isEmpty()) {
            Map<PartKey, Integer> crashes = new HashMap<>();
            unexplained.forEach(
                    involvement -> involvement.requests.forEach(request -> crashes.merge(request, 1, Integer::sum)));
            PartKey most = crashes.entrySet().stream()
                    .max(Map.Entry.<PartKey, Integer>comparingByValue()
                            .thenComparing(entry -> entry.getKey().hash()))
                    .orElseThrow()
                    .getKey();
            unexplained.removeIf(involvement -> involvement.requests.contains(most));
            count++;
        }
        return count;
    }

    private boolean follows(Involvement earlier) {
        return sentNanos - earlier.crashNanos >= 0 || requests.stream().anyMatch(earlier.requests::contains);
    }
}
