package org.coltsfootquay.decision.fairness;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.ObjLongConsumer;

/** Receives the usage reports of one child or other region: keeps the sums already added and the last report. */
final class UsageReceiver {

    private final Map<UsageKey, Long> sums = new HashMap<>();
    private final Set<UsageKey> backlogged = new HashSet<>();
    private UsageReport last;
    private long receivedNanos;

    /**
     * Adds the increments since the previous report.
     *
     * @param report report; ignored if it is not newer than the last one
     * @param nowNanos current time
     * @param increments consumer of the increments
     */
    void receive(UsageReport report, long nowNanos, ObjLongConsumer<UsageKey> increments) {
        if (last != null) {
            boolean outdated = report.session() < last.session()
                    || (report.session() == last.session() && report.sequence() <= last.sequence());
            if (outdated) {
                return;
            }
            if (report.session() > last.session()) {
                sums.clear();
            }
        }
        last = report;
        receivedNanos = nowNanos;
        backlogged.clear();
        for (WorkspaceUsage usage : report.usage()) {
            UsageKey key = new UsageKey(usage.workspace(), usage.service());
            Long previous = sums.put(key, usage.units());
            increments.accept(key, usage.units() - (previous == null ? 0 : previous));
            if (usage.backlogged()) {
                backlogged.add(key);
            }
        }
    }

    Set<UsageKey> backlogged() {
        return backlogged;
    }

    UsageReport last() {
        return last;
    }

    long receivedNanos() {
        return receivedNanos;
    }

    /** Returns the time of the oldest data in the last report, by the clock of this router. */
    long dataNanos() {
        return receivedNanos - last.ageMillis() * 1_000_000;
    }
}
