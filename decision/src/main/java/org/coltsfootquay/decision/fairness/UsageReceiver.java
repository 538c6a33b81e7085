package org.coltsfootquay.decision.fairness;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.ObjLongConsumer;

/** What a parent remembers about one child: the sums it has added, and the last report. */
final class UsageReceiver {

    private final Map<UsageKey, Long> sums = new HashMap<>();
    private final Set<UsageKey> backlogged = new HashSet<>();
    private UsageReport last;
    private long receivedNanos;

    /**
     * Adds what is new in a report.
     *
     * @param report report; one that is not newer than the last one is ignored
     * @param nowNanos current time
     * @param increments receiver of the increments
     */
    void receive(UsageReport report, long nowNanos, ObjLongConsumer<UsageKey> increments) {
        if (last != null) {
            boolean old = report.session() < last.session()
                    || (report.session() == last.session() && report.sequence() <= last.sequence());
            if (old) {
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
            Long former = sums.put(key, usage.units());
            increments.accept(key, usage.units() - (former == null ? 0 : former));
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

    /** Returns the time that the least recent part of the child's data is from. */
    long dataNanos() {
        return receivedNanos - last.ageMillis() * 1_000_000;
    }
}
