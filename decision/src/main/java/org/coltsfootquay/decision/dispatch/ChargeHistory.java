package org.coltsfootquay.decision.dispatch;

import java.util.ArrayDeque;

/** Service that this owner charged to one workspace since the fleet totals were made. */
final class ChargeHistory {

    private static final long BUCKET_WIDTH_NANOS = 250_000_000;

    /** Buckets kept when totals stop arriving; older ones are merged, because all of them count until newer totals. */
    private static final int MAX_BUCKETS = 32;

    private final ArrayDeque<Bucket> buckets = new ArrayDeque<>();
    private long sum;

    void add(long units, long nowNanos) {
        Bucket last = buckets.peekLast();
        if (last == null || nowNanos - last.startNanos >= BUCKET_WIDTH_NANOS) {
            last = new Bucket(nowNanos);
            buckets.add(last);
            if (buckets.size() > MAX_BUCKETS) {
                Bucket first = buckets.removeFirst();
                buckets.getFirst().units += first.units;
            }
        }
        last.units += units;
        sum += units;
    }

    /** Forgets what was charged before the given time, because newer totals contain it. */
    void removeBefore(long nanos) {
        while (!buckets.isEmpty() && buckets.getFirst().startNanos < nanos) {
            sum -= buckets.removeFirst().units;
        }
    }

    long sum() {
        return sum;
    }

    private static final class Bucket {

        private final long startNanos;
        private long units;

        private Bucket(long beginNanos) {
            this.startNanos = beginNanos;
        }
    }
}
