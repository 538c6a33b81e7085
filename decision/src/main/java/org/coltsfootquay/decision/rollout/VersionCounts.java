package org.coltsfootquay.decision.rollout;

/**
 * Responses of servers; immutable.
 *
 * @param requests number of responses, failures included
 * @param failures number of failures
 * @param latencies successful responses by latency, in buckets that double; has {@link #BUCKETS} elements, not copied
 */
@SuppressWarnings("ArrayRecordComponent")
public record VersionCounts(long requests, long failures, long[] latencies) {

    /** Number of buckets; the last one has all longer latencies. */
    public static final int BUCKETS = 24;

    /** No responses. */
    public static final VersionCounts NONE = new VersionCounts(0, 0, new long[BUCKETS]);

    /**
     * Returns these counts and one more response.
     *
     * @param failed true for a failure
     * @param latency latency in any unit above 0, or 0 if it does not count
     * @return counts
     */
    VersionCounts plus(boolean failed, long latency) {
        if (failed || latency <= 0) {
            return new VersionCounts(requests + 1, failures + (failed ? 1 : 0), latencies);
        }
        long[] counts = latencies.clone();
        counts[Math.min(BUCKETS - 1, Long.SIZE - Long.numberOfLeadingZeros(latency))]++;
        return new VersionCounts(requests + 1, failures, counts);
    }

    VersionCounts plus(VersionCounts other) {
        long[] counts = latencies.clone();
        for (int i = 0; i < BUCKETS; i++) {
            counts[i] += other.latencies[i];
        }
        return new VersionCounts(requests + other.requests, failures + other.failures, counts);
    }

    /** Returns the responses that are in these counts and not in earlier ones. */
    VersionCounts minus(VersionCounts earlier) {
        long[] counts = latencies.clone();
        for (int i = 0; i < BUCKETS; i++) {
            counts[i] -= earlier.latencies[i];
        }
        return new VersionCounts(requests - earlier.requests, failures - earlier.failures, counts);
    }

    long timed() {
        return above(-1);
    }

    /** Returns the number of successful responses in later buckets than the given one. */
    long above(int bucket) {
        long count = 0;
        for (int i = bucket + 1; i < BUCKETS; i++) {
            count += latencies[i];
        }
        return count;
    }

    /** Returns the first bucket above which there is at most the given share of the latencies. */
    int bucketOf(double shareAbove) {
        long total = timed();
        int bucket = BUCKETS - 1;
        while (bucket > 0 && above(bucket - 1) <= shareAbove * total) {
            bucket--;
        }
        return bucket;
    }
}
