package org.coltsfootquay.decision.request;

import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.dispatch.EndReport;

/** Measures the service units and times of one attempt on a server. */
final class AttemptMeter {

    /** Service units charged for one output token (design page, 5.1). */
    private static final int UNITS_PER_TOKEN = 2;

    private static final long REPORT_PERIOD_NANOS = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Histogram buckets, four for each power of two, from 1 ms to 65 s. */
    private static final int BUCKET_COUNT = 64;

    private final ServiceKind kind;
    private final long inputUnits;
    private final long startNanos;
    private short[] intervalCounts;
    private int totalIntervals;
    private long firstPartNanos = -1;
    private long lastPartNanos;
    private long lastReportNanos;
    private long reportedUnits;
    private long tokens;
    private int worstTokenIntervalMillis;

    /**
     * Creates a meter.
     *
     * @param kind kind of the service
     * @param inputUnits service units charged for the input; 0 for an attempt that continues an earlier one
     * @param startNanos time at which the send started
     */
    AttemptMeter(ServiceKind kind, long inputUnits, long startNanos) {
        this.kind = kind;
        this.inputUnits = inputUnits;
        this.startNanos = startNanos;
        this.lastReportNanos = startNanos;
    }

    void recordPart(boolean token, long nowNanos) {
        if (firstPartNanos < 0) {
            firstPartNanos = nowNanos;
        } else if (token) {
            recordInterval((int) Math.min(Integer.MAX_VALUE, (nowNanos - lastPartNanos) / NANOS_PER_MILLI));
        }
        lastPartNanos = nowNanos;
        if (token) {
            tokens++;
        }
    }

    boolean isReportDue(long nowNanos) {
        return nowNanos - lastReportNanos >= REPORT_PERIOD_NANOS && units(nowNanos) > reportedUnits;
    }

    long takeUnreportedUnits(long nowNanos) {
        long units = units(nowNanos) - reportedUnits;
        reportedUnits += units;
        lastReportNanos = nowNanos;
        return units;
    }

    int takeWorstTokenIntervalMillis() {
        int worst = worstTokenIntervalMillis;
        worstTokenIntervalMillis = 0;
        return worst;
    }

    EndReport createReport(EndReport.Outcome outcome, long nowNanos) {
        int firstMillis = firstPartNanos < 0 ? 0 : (int) ((firstPartNanos - startNanos) / NANOS_PER_MILLI);
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
        return (firstPartNanos < 0 ? 0 : inputUnits) + UNITS_PER_TOKEN * tokens;
    }

    private void recordInterval(int millis) {
        worstTokenIntervalMillis = Math.max(worstTokenIntervalMillis, millis);
        if (intervalCounts == null) {
            intervalCounts = new short[BUCKET_COUNT];
        }
        int bucket = Math.min(BUCKET_COUNT - 1, (int) (4 * Math.log(Math.max(1, millis)) / Math.log(2)));
        if (intervalCounts[bucket] < Short.MAX_VALUE) {
            intervalCounts[bucket]++;
            totalIntervals++;
        }
    }

    private int intervalP95() {
        if (totalIntervals == 0) {
            return 0;
        }
        int rank = (int) Math.ceil(0.95 * totalIntervals);
        int cumulativeCount = 0;
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            cumulativeCount += intervalCounts[bucket];
            if (cumulativeCount >= rank) {
                return (int) Math.round(Math.pow(2, (bucket + 0.5) / 4));
            }
        }
        return worstTokenIntervalMillis;
    }
}
