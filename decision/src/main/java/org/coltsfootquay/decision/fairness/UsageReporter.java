package org.coltsfootquay.decision.fairness;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Counters of a router and its subtree, as they are reported to one parent after the other. */
public final class UsageReporter {

    /** Reports kept until they are acknowledged; an acknowledgement of a later one covers those that were dropped. */
    private static final int MAX_UNACKNOWLEDGED = 64;

    private final Map<UsageKey, Long> sums = new LinkedHashMap<>();
    private final Map<UsageKey, Long> acknowledged = new HashMap<>();
    private final Set<UsageKey> changed = new HashSet<>();
    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private long session;
    private long sequence;

    private record Sent(long sequence, Map<UsageKey, Long> sums) {}

    /**
     * Creates a reporter.
     *
     * @param session number of the first session, greater than that of any earlier start of this router
     */
    public UsageReporter(long session) {
        this.session = session;
    }

    /**
     * Adds service to a counter.
     *
     * @param key counter
     * @param units service units; negative for a correction
     */
    public void add(UsageKey key, long units) {
        if (units != 0) {
            sums.merge(key, units, Long::sum);
            changed.add(key);
        }
    }

    /**
     * Returns the counters of the next report and remembers them until they are acknowledged.
     *
     * @param backlogged counters whose workspace has requests waiting
     * @return counters to report
     */
    public List<WorkspaceUsage> nextUsage(Set<UsageKey> backlogged) {
        sequence++;
        List<WorkspaceUsage> usage = new ArrayList<>();
        Map<UsageKey, Long> values = new HashMap<>();
        Set<UsageKey> reported = new HashSet<>(changed);
        reported.addAll(backlogged);
        for (UsageKey key : reported) {
            long sum = sums.getOrDefault(key, 0L);
            values.put(key, sum);
            usage.add(new WorkspaceUsage(key.workspace(), key.service(), sum, backlogged.contains(key)));
        }
        sent.add(new Sent(sequence, values));
        if (sent.size() > MAX_UNACKNOWLEDGED) {
            sent.removeFirst();
        }
        return usage;
    }

    /**
     * Notes that the parent added a report.
     *
     * @param upTo sequence number of the report
     */
    public void acknowledge(long upTo) {
        while (!sent.isEmpty() && sent.getFirst().sequence() <= upTo) {
            acknowledged.putAll(sent.removeFirst().sums());
        }
        changed.removeIf(key -> acknowledged.getOrDefault(key, 0L).equals(sums.getOrDefault(key, 0L)));
    }

    /** Starts a new session for another parent, with the service that the former parent did not acknowledge. */
    public void changeParent() {
        session++;
        sent.clear();
        sums.replaceAll((key, sum) -> sum - acknowledged.getOrDefault(key, 0L));
        sums.values().removeIf(sum -> sum == 0);
        acknowledged.clear();
        changed.clear();
        changed.addAll(sums.keySet());
    }

    /** Forgets all service that was not acknowledged, because this router became the root and added it itself. */
    public void clear() {
        session++;
        sent.clear();
        sums.clear();
        acknowledged.clear();
        changed.clear();
    }

    /**
     * Returns the unacknowledged service.
     *
     * @return service units by counter
     */
    public Map<UsageKey, Long> unacknowledged() {
        Map<UsageKey, Long> units = new LinkedHashMap<>();
        for (UsageKey key : changed) {
            units.put(key, sums.getOrDefault(key, 0L) - acknowledged.getOrDefault(key, 0L));
        }
        return units;
    }

    /**
     * Returns the session number.
     *
     * @return session
     */
    public long session() {
        return session;
    }

    /**
     * Returns the sequence number of the last report.
     *
     * @return sequence
     */
    public long sequence() {
        return sequence;
    }
}
