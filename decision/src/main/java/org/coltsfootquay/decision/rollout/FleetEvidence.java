package org.coltsfootquay.decision.rollout;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Responses that the fleet has seen since an order; not thread-safe.
 *
 * <p>Routers report totals, so that a lost report does no harm. Totals of a router that restarts are kept, since its
 * new life counts from zero.
 */
final class FleetEvidence {

    /** Recent responses without which a share of the target says nothing about the fleet. */
    private static final int MIN_RECENT_RESPONSES = 20;

    /** Time after which the totals of a router no longer show that it takes part; some beacons of a large fleet. */
    private static final Duration REPORT_LIFETIME = Duration.ofSeconds(4);

    /** Length of the window of recent responses; long enough for reports of a large fleet. */
    private static final Duration RECENT_WINDOW = Duration.ofMillis(2500);

    private final Map<CountKey, VersionCounts> local = new HashMap<>();
    private final Map<CountKey, VersionCounts> sums = new HashMap<>();
    private final Map<Long, Peer> peers = new HashMap<>();
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();

    void record(CountKey key, boolean failed, long latency) {
        VersionCounts before = local.getOrDefault(key, VersionCounts.NONE);
        VersionCounts after = before.plus(failed, latency);
        local.put(key, after);
        add(key, before, after);
    }

    void receive(long incarnation, RolloutReport report, long nowNanos) {
        Peer peer = peers.computeIfAbsent(incarnation, id -> new Peer());
        peer.atNanos = nowNanos;
        peer.stopped = report.stopped();
        report.counts().forEach((key, counts) -> {
            VersionCounts before = peer.counts.getOrDefault(key, VersionCounts.NONE);
            // Messages may arrive in any order; the newest one has counted most.
            if (counts.requests() > before.requests()) {
                peer.counts.put(key, counts);
                add(key, before, counts);
            }
        });
    }

    private void add(CountKey key, VersionCounts before, VersionCounts after) {
        sums.merge(key, after.minus(before), VersionCounts::plus);
    }

    Map<CountKey, VersionCounts> local() {
        return local;
    }

    Map<CountKey, VersionCounts> sums() {
        return sums;
    }

    /** Returns the sum over all routes of the target or of the other versions. */
    VersionCounts total(boolean target) {
        VersionCounts total = VersionCounts.NONE;
        for (Map.Entry<CountKey, VersionCounts> entry : sums.entrySet()) {
            if (entry.getKey().target() == target && !entry.getKey().run()) {
                total = total.plus(entry.getValue());
            }
        }
        return total;
    }

    /** Returns the totals of each router, this one included. */
    List<Map<CountKey, VersionCounts>> byRouter() {
        List<Map<CountKey, VersionCounts>> totals = new ArrayList<>();
        totals.add(local);
        peers.values().forEach(peer -> totals.add(peer.counts));
        return totals;
    }

    /** Moves the window of recent responses to the current time. */
    void advance(long nowNanos) {
        snapshots.addLast(new Snapshot(nowNanos, Map.copyOf(sums)));
        while (snapshots.size() > 1 && nowNanos - snapshots.peekFirst().atNanos > RECENT_WINDOW.toNanos()) {
            snapshots.removeFirst();
        }
    }

    /** Returns the counts that were added within the window. */
    VersionCounts recent(CountKey key) {
        VersionCounts now = sums.getOrDefault(key, VersionCounts.NONE);
        return snapshots.isEmpty() ? now : now.minus(snapshots.peekFirst().sums.getOrDefault(key, VersionCounts.NONE));
    }

    /** Returns the share of the target among the recent responses; 0 with too few for a conclusion. */
    double recentTargetShare() {
        long target = 0;
        long all = 0;
        for (CountKey key : sums.keySet()) {
            if (!key.run()) {
                long requests = recent(key).requests();
                all += requests;
                target += key.target() ? requests : 0;
            }
        }
        return all < MIN_RECENT_RESPONSES ? 0 : (double) target / all;
    }

    /** Returns the number of peers with a recent report. */
    int reporters(long nowNanos) {
        return (int)
                peers.values().stream().filter(peer -> peer.isRecent(nowNanos)).count();
    }

    /** Returns the number of peers that have recently reported that they send nothing to the target. */
    int stopped(long nowNanos) {
        return (int) peers.values().stream()
                .filter(peer -> peer.stopped && peer.isRecent(nowNanos))
                .count();
    }

    private record Snapshot(long atNanos, Map<CountKey, VersionCounts> sums) {}

    private static final class Peer {

        private final Map<CountKey, VersionCounts> counts = new HashMap<>();
        private long atNanos;
        private boolean stopped;

        private boolean isRecent(long nowNanos) {
            return nowNanos - atNanos <= REPORT_LIFETIME.toNanos();
        }
    }
}
