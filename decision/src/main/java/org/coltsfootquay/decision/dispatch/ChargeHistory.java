package org.coltsfootquay.decision.dispatch;

import java.util.ArrayDeque;

/** Service units that this owner charged to one workspace after the time that the fleet totals are from. */
final class ChargeHistory {

    private static final long BUCKET_WIDTH_NANOS = 250_000_000;

    /**
     * Maximum number of buckets, reached when totals stop arriving. The oldest two are then merged rather than dropped,
     * because every charge counts until newer totals contain it.
     */
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

    /** Removes buckets that started before the given time, because newer totals contain their charges. */
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

        private Bucket(long startNanos) {
            this.startNanos = startNanos;
        }
    }
}
