package org.coltsfootquay.standin.backend;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.coltsfootquay.standin.http.JsonUtils;

/** Load of a backend server over the last minutes, for reports that lag; used on one event loop. */
public final class LoadHistory {

    private static final int MAX_SAMPLES = 20_000;
    private static final long MIN_DISTANCE_NANOS = 2_000_000;

    private record Sample(long atNanos, int running, int waiting) {}

    private final ColdStart coldStart;
    private final Deque<Sample> samples = new ArrayDeque<>();
    private long startedNanos;

    /**
     * Creates an empty history.
     *
     * @param coldStart cold start of the server
     */
    public LoadHistory(ColdStart coldStart) {
        this.coldStart = coldStart;
    }

    /**
     * Forgets everything, as a server does that restarts.
     *
     * @param nowNanos time of the start
     */
    public void restart(long nowNanos) {
        startedNanos = nowNanos;
        samples.clear();
        samples.add(new Sample(nowNanos, 0, 0));
    }

    /**
     * Notes a change of the load.
     *
     * @param nowNanos time
     * @param running requests that run
     * @param waiting requests that wait for their prefill
     */
    public void note(long nowNanos, int running, int waiting) {
        Sample last = samples.peekLast();
        if (last != null && samples.size() > 1 && nowNanos - last.atNanos() < MIN_DISTANCE_NANOS) {
            samples.removeLast();
            samples.add(new Sample(last.atNanos(), running, waiting));
            return;
        }
        samples.add(new Sample(nowNanos, running, waiting));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /**
     * Returns the report as of an earlier time, but not from before the start.
     *
     * @param nowNanos time
     * @param lagMillis lag in milliseconds
     * @return report
     */
    public ObjectNode report(long nowNanos, long lagMillis) {
        long atNanos = Math.max(nowNanos - lagMillis * 1_000_000, startedNanos);
        Sample sample = samples.peekFirst();
        for (Iterator<Sample> newest = samples.descendingIterator(); newest.hasNext(); ) {
            Sample each = newest.next();
            if (each.atNanos() - atNanos <= 0) {
                sample = each;
                break;
            }
        }
        boolean cold = coldStart.cold(atNanos);
        ObjectNode node = JsonUtils.object()
                .put("running", sample == null ? 0 : sample.running())
                .put("waiting", sample == null ? 0 : sample.waiting())
                .put("cold", cold);
        if (cold) {
            node.put("bearable", coldStart.bearable());
        } else {
            node.putNull("bearable");
        }
        return node.put("uptimeMillis", (atNanos - startedNanos) / 1_000_000)
                .put("ageMillis", (nowNanos - atNanos) / 1_000_000);
    }
}
