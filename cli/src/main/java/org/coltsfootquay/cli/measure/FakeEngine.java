package org.coltsfootquay.cli.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.dispatch.LoadReport;

/**
 * Fluid model of an engine with continuous batching.
 *
 * <p>The time between tokens grows linearly with the number of requests and reaches its target when all slots are used;
 * beyond them it grows further. After a cold restart the engine can handle few requests at first.
 */
final class FakeEngine {

    static final int TARGET_INTERVAL_MILLIS = 57;

    private static final double EMPTY_INTERVAL_MILLIS = 15;
    private static final double PREFILL_TOKENS_PER_MILLI = 8;
    private static final double COLD_SECONDS = 40;

    final ServerName name;
    final SimRouter owner;
    final int zone;
    final int slots;
    final List<SimRequest> running = new ArrayList<>();
    private final boolean initiallyWarm;
    private long startedNanos;
    private boolean restarted;

    /** Largest number of requests above what the engine could handle while it was cold. */
    int largestColdExcess;

    FakeEngine(ServerName name, SimRouter owner, int zone, int slots, long nowNanos) {
        this.name = name;
        this.owner = owner;
        this.zone = zone;
        this.slots = slots;
        this.initiallyWarm = true;
        this.startedNanos = nowNanos - 3_600_000_000_000L;
    }

    int bearable(long now) {
        if (initiallyWarm && !restarted) {
            return slots;
        }
        double part = (now - startedNanos) / 1e9 / COLD_SECONDS;
        return (int) Math.max(2, Math.min(slots, slots * part));
    }

    LoadReport load(long now) {
        int bearable = bearable(now);
        boolean cold = bearable < slots;
        return new LoadReport(
                running.size(),
                0,
                cold,
                cold ? OptionalInt.of(bearable) : OptionalInt.empty(),
                (now - startedNanos) / 1_000_000,
                0);
    }

    void start(SimRequest request, long now) {
        running.add(request);
        request.prefillMillisLeft = (request.input + request.tokens) / PREFILL_TOKENS_PER_MILLI;
        if (bearable(now) < slots) {
            largestColdExcess = Math.max(largestColdExcess, running.size() - bearable(now));
        }
    }

    boolean cancel(SimRequest request) {
        return running.remove(request);
    }

    /** Stops all requests and starts cold. */
    List<SimRequest> restart(long now) {
        List<SimRequest> broken = List.copyOf(running);
        running.clear();
        startedNanos = now;
        restarted = true;
        return broken;
    }

    /** Lets time pass and returns the requests that ended. */
    List<SimRequest> step(long now, double millis) {
        if (running.isEmpty()) {
            return List.of();
        }
        double interval = interval(running.size(), bearable(now));
        List<SimRequest> ended = new ArrayList<>();
        for (SimRequest request : running) {
            double left = millis;
            if (request.prefillMillisLeft > 0) {
                double used = Math.min(left, request.prefillMillisLeft);
                request.prefillMillisLeft -= used;
                left -= used;
            }
            if (request.prefillMillisLeft <= 0) {
                request.inputCharged = true;
                if (request.attemptFirstTokenNanos == 0) {
                    request.attemptFirstTokenNanos = now;
                }
                request.tokens += left / interval;
                request.worstIntervalMillis = Math.max(request.worstIntervalMillis, interval);
                if (request.tokens >= request.output) {
                    request.tokens = request.output;
                    ended.add(request);
                }
            }
        }
        running.removeAll(ended);
        return ended;
    }

    /** Output tokens a second when all slots are used. */
    double fullRate() {
        return slots * 1_000.0 / TARGET_INTERVAL_MILLIS;
    }

    private double interval(int requests, int bearable) {
        return EMPTY_INTERVAL_MILLIS + (TARGET_INTERVAL_MILLIS - EMPTY_INTERVAL_MILLIS) * requests / (double) bearable;
    }
}
