package org.coltsfootquay.decision.request;

import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.dispatch.EndReport;

/** Service units and times of one attempt on a server. */
final class AttemptMeter {

    /** Service units of one output token (design page, 5.1). */
    private static final int UNITS_PER_TOKEN = 2;

    private static final long REPORT_PERIOD_NANOS = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Buckets of a quarter of a power of two, from 1 ms to 65 s. */
    private static final int BUCKETS = 64;

    private final ServiceKind kind;
    private final long inputUnits;
    private final long startNanos;
    private short[] intervals;
    private int intervalCount;
    private long firstNanos = -1;
    private long lastNanos;
    private long reportNanos;
    private long reportedUnits;
    private long tokens;
    private int worstMillis;

    /**
     * Creates a meter.
     *
     * @param kind kind of the service
     * @param inputUnits units charged for the input; 0 for an attempt that continues an earlier one
     * @param startNanos time of the send
     */
    AttemptMeter(ServiceKind kind, long inputUnits, long startNanos) {
        this.kind = kind;
        this.inputUnits = inputUnits;
        this.startNanos = startNanos;
        this.reportNanos = startNanos;
    }

    void part(boolean token, long nowNanos) {
        if (firstNanos < 0) {
            firstNanos = nowNanos;
        } else if (token) {
            count((int) Math.min(Integer.MAX_VALUE, (nowNanos - lastNanos) / NANOS_PER_MILLI));
        }
        lastNanos = nowNanos;
        if (token) {
            tokens++;
        }
    }

    boolean reportDue(long nowNanos) {
        return nowNanos - reportNanos >= REPORT_PERIOD_NANOS && units(nowNanos) > reportedUnits;
    }

    long takeUnits(long nowNanos) {
        long units = units(nowNanos) - reportedUnits;
        reportedUnits += units;
        reportNanos = nowNanos;
        return units;
    }

    int takeWorstMillis() {
        int worst = worstMillis;
        worstMillis = 0;
        return worst;
    }

    EndReport end(EndReport.Outcome outcome, long nowNanos) {
        int firstMillis = firstNanos < 0 ? 0 : (int) ((firstNanos - startNanos) / NANOS_PER_MILLI);
        boolean ran = outcome != EndReport.Outcome.COLD && outcome != EndReport.Outcome.FENCED;
        return new EndReport(
                outcome,
                ran ? units(nowNanos) : 0,
                firstMillis,
                intervalP95(),
                (nowNanos - startNanos) / NANOS_PER_MILLI);
    }

    private long units(long nowNanos) {
        if (kind == ServiceKind.APPLICATION) {
            return (nowNanos - startNanos) / NANOS_PER_MILLI;
        }
        return (firstNanos < 0 ? 0 : inputUnits) + UNITS_PER_TOKEN * tokens;
    }

    private void count(int millis) {
        worstMillis = Math.max(worstMillis, millis);
        if (intervals == null) {
            intervals = new short[BUCKETS];
        }
        int bucket = Math.min(BUCKETS - 1, (int) (4 * Math.log(Math.max(1, millis)) / Math.log(2)));
        if (intervals[bucket] < Short.MAX_VALUE) {
            intervals[bucket]++;
            intervalCount++;
        }
    }

    private int intervalP95() {
        if (intervalCount == 0) {
            return 0;
        }
        int rank = (int) Math.ceil(0.95 * intervalCount);
        int seen = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            seen += intervals[bucket];
            if (seen >= rank) {
                return (int) Math.round(Math.pow(2, (bucket + 0.5) / 4));
            }
        }
        return worstMillis;
    }
}
