package org.coltsfootquay.decision.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.configuration.ServiceKind;

/**
 * Adaptive limit on the requests in flight on one server: additive increase, multiplicative decrease (AIMD), and a ramp
 * after a cold start.
 *
 * <p>Latency is evaluated as the ratio of a measured value to its target, so that classes with different targets can
 * share a server. Samples are averaged over one second: a single long token interval is usually caused by the prefill
 * of another request and does not indicate too many requests.
 */
public final class ConcurrencyLimit {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long WINDOW_NANOS = 1_000 * NANOS_PER_MILLI;
    private static final double USUAL_RATIO_WEIGHT = 0.1;

    /**
     * Fraction of the target that a decrease aims at. A decrease to 0.7 for an excess of a few percent would leave
     * capacity unused.
     */
    private static final double DECREASE_TARGET_FRACTION = 0.97;

    /** Maximum factor by which the limit grows in one window of the ramp. */
    private static final double MAX_RAMP_FACTOR = 2;

    /** Number of windows within the target before the usual latency ratio is considered known. */
    private static final int MIN_USUAL_WINDOWS = 5;

    private final ConcurrencyLimitSettings settings;
    private final ServiceKind kind;
    private final Map<ClassOfWorkName, Double> minMillis = new HashMap<>();

    private double limit = 1;
    private boolean ramping;
    private double limitBeforeRamp;

    /** Requests in flight, as last reported by the dispatcher. */
    private int inFlight;

    /** Maximum number of requests in flight since the current window began. */
    private int peakInFlight;

    private double windowStartLimit = 1;
    private boolean fullyUsed;

    /**
     * Whether a window since the last increase had samples and was within the target. The limit is not increased
     * without samples.
     */
    private boolean withinTarget;

    private long increasedNanos;
    private long decreasedNanos;
    private boolean hasDecreased;
    private long windowNanos;
    private double windowSum;
    private int windowSamples;
    private double usualRatio;
    private int usualWindows;
    private long uptimeMillis = -1;

    /** Requests that a cold server last reported it can handle; 0 if it reported none. */
    private int acceptableRequests;

    private long brokenNanos;
    private boolean hasBroken;

    /** Whether the ramp was started by broken connections alone; a load report measured later can end it. */
    private boolean restartSuspected;

    private long rampNanos;

    /**
     * Creates the limit of a server without history, which starts with the ramp.
     *
     * @param settings parameters of the control loop
     * @param kind kind of service that the server belongs to
     * @param nowNanos current time
     */
    public ConcurrencyLimit(ConcurrencyLimitSettings settings, ServiceKind kind, long nowNanos) {
        this.settings = settings;
        this.kind = kind;
        this.ramping = true;
        this.increasedNanos = nowNanos;
        this.windowNanos = nowNanos;
    }

    /**
     * Returns the current limit.
     *
     * @return requests, at least 1
     */
    public int limit() {
        return (int) Math.floor(limit);
    }

    /**
     * Returns whether the ramp is active.
     *
     * @return true during the ramp
     */
    public boolean isRamping() {
        return ramping;
    }

    /**
     * Returns the limit before the ramp, at which the ramp ends.
     *
     * @return limit before the ramp, or 0 if the server has no history
     */
    public int limitBeforeRamp() {
        return (int) limitBeforeRamp;
    }

    /**
     * Restores the limit that a previous owner of the server determined.
     *
     * @param knownLimit limit of the previous owner, at least 1
     * @param cold whether the server was in its ramp
     */
    public void restore(double knownLimit, boolean cold) {
        limitBeforeRamp = Math.max(1, Math.min(settings.maxLimit(), knownLimit));
        ramping = cold;
        if (!cold) {
            limit = limitBeforeRamp;
        }
    }

    /**
     * Records the number of requests in flight after one was granted or ended.
     *
     * @param requests requests in flight
     * @param full whether no slot was free
     */
    public void recordInFlight(int requests, boolean full) {
        inFlight = requests;
        peakInFlight = Math.max(peakInFlight, requests);
        fullyUsed |= full;
    }

    /**
     * Records the token interval of a stream.
     *
     * @param worstMillis longest time between tokens since the last report
     * @param targetMillis target of the class; 0 if it has none
     * @param nowNanos current time
     */
    public void recordTokenInterval(int worstMillis, int targetMillis, long nowNanos) {
        if (kind == ServiceKind.MODEL && worstMillis > 0) {
            int target = targetMillis > 0 ? targetMillis : settings.defaultTokenIntervalMillis();
            sample((double) worstMillis / target, nowNanos);
        }
    }

    /**
     * Records a completed request.
     *
     * @param classOfWork class of work of the request
     * @param serverMillis time from dispatch to completion
     * @param nowNanos current time
     */
    public void recordCompletion(ClassOfWorkName classOfWork, long serverMillis, long nowNanos) {
        if (ramping) {
            double maximum = acceptableRequests > 0 ? acceptableRequests : settings.maxLimit();
            limit = Math.min(maximum, Math.max(limit, Math.min(limit + 1, maxRampLimit())));
            if (limitBeforeRamp > 0 && limit >= limitBeforeRamp) {
                limit = limitBeforeRamp;
                endRamp(nowNanos);
            }
        }
        if (kind == ServiceKind.APPLICATION) {
            double millis = Math.max(1, serverMillis);
            double minimum = minMillis.merge(classOfWork, millis, (old, now) -> Math.min(old * 1.001, now));
            sample(millis / minimum / settings.applicationLatencyRatio(), nowNanos);
        }
    }

    /**
     * Records a request that failed on the server.
     *
     * @param nowNanos current time
     */
    public void recordFailure(long nowNanos) {
        decrease(nowNanos, settings.decreaseFactor());
    }

    /**
     * Records that a connection to the server could not be established or broke.
     *
     * <p>Two such failures within a second indicate that the server may have restarted. The ramp starts without waiting
     * for a load report, since the slots of the broken streams would otherwise be refilled on a cold server at once.
     *
     * @param nowNanos current time
     */
    public void recordBrokenConnection(long nowNanos) {
        boolean again = hasBroken && nowNanos - brokenNanos < WINDOW_NANOS;
        hasBroken = true;
        brokenNanos = nowNanos;
        if (again) {
            restartSuspected |= !ramping;
            startColdRamp(OptionalInt.empty(), nowNanos);
        } else {
            decrease(nowNanos, settings.decreaseFactor());
        }
    }

    /**
     * Starts the ramp of a cold server, or restarts an active ramp.
     *
     * @param acceptable requests that the server reports it can handle, if any
     * @param nowNanos current time
     */
    public void startColdRamp(OptionalInt acceptable, long nowNanos) {
        if (!ramping) {
            limitBeforeRamp = limit;
            ramping = true;
            limit = acceptable.orElse(1);
        } else {
            limit = acceptable.orElse((int) Math.max(1, Math.min(limit, inFlight - 1)));
        }
        limit = Math.max(1, limit);
        rampNanos = nowNanos;
        startWindow(nowNanos);
    }

    /**
     * Starts the ramp of a server that got no work for some time, for example because its zone was out of service.
     *
     * @param nowNanos current time
     */
    public void startRampAfterPause(long nowNanos) {
        if (ramping) {
            limit = Math.max(1, inFlight);
        } else {
            limitBeforeRamp = limit;
            ramping = true;
            limit = Math.max(1, inFlight);
        }
        rampNanos = nowNanos;
        startWindow(nowNanos);
    }

    /**
     * Records a load report of the server.
     *
     * @param running requests that the server executes
     * @param waiting requests in the server's queue
     * @param cold whether the server reports that it is cold
     * @param acceptable requests that it reports it can handle now, if any
     * @param reportedUptimeMillis time since the server process started
     * @param measuredNanos time of the measurement
     * @param nowNanos current time
     */
    public void recordLoadReport(
            int running,
            int waiting,
            boolean cold,
            OptionalInt acceptable,
            long reportedUptimeMillis,
            long measuredNanos,
            long nowNanos) {
        boolean restarted = uptimeMillis >= 0 && reportedUptimeMillis < uptimeMillis;
        boolean firstReport = uptimeMillis < 0;
        uptimeMillis = reportedUptimeMillis;
        acceptableRequests = cold ? acceptable.orElse(0) : 0;
        boolean recent = firstReport && reportedUptimeMillis < settings.recentStartMillis();
        if (restarted || recent || (cold && !ramping)) {
            restartSuspected = false;
            startColdRamp(acceptable, nowNanos);
        } else if (restartSuspected && !cold && measuredNanos > brokenNanos) {
            restartSuspected = false;
            limit = Math.max(1, limitBeforeRamp);
            endRamp(nowNanos);
        } else if (cold && acceptable.isPresent()) {
            limit = Math.max(1, acceptable.getAsInt());
        } else if (ramping
                && measuredNanos > rampNanos
                && waiting == 0
                && reportedUptimeMillis >= settings.recentStartMillis()) {
            limit = Math.max(limit, running);
        }
        if (waiting > 0 && running > 0 && running < limit && !ramping) {
            limit = Math.max(1, running);
        }
    }

    /**
     * Closes the measurement window and increases the limit, each if due.
     *
     * @param nowNanos current time
     */
    public void tick(long nowNanos) {
        if (nowNanos - windowNanos >= WINDOW_NANOS) {
            closeWindow(nowNanos);
        }
        if (nowNanos - increasedNanos >= WINDOW_NANOS) {
            double seconds = Math.min(2, (nowNanos - increasedNanos) / 1e9);
            if (fullyUsed && !ramping && withinTarget) {
                limit = Math.min(settings.maxLimit(), limit + settings.increasePerSecond() * seconds);
            }
            fullyUsed = false;
            withinTarget = false;
            increasedNanos = nowNanos;
        }
    }

    private void sample(double ratio, long nowNanos) {
        tick(nowNanos);
        windowSum += ratio;
        windowSamples++;
    }

    private void closeWindow(long nowNanos) {
        if (windowSamples > 0) {
            double mean = windowSum / windowSamples;
            boolean usualKnown = usualWindows >= MIN_USUAL_WINDOWS;
            if (usualKnown && !ramping && mean > 1 && mean > settings.coldLatencyRatio() * usualRatio) {
                startColdRamp(OptionalInt.empty(), nowNanos);
            } else if (mean > 1) {
                withinTarget = false;
                decrease(nowNanos, Math.max(settings.decreaseFactor(), DECREASE_TARGET_FRACTION / mean));
            } else {
                withinTarget = true;
                usualRatio = usualWindows == 0 ? mean : usualRatio + USUAL_RATIO_WEIGHT * (mean - usualRatio);
                usualWindows++;
            }
        }
        startWindow(nowNanos);
    }

    private void decrease(long nowNanos, double factor) {
        boolean inHoldOff =
                hasDecreased && nowNanos - decreasedNanos < settings.decreaseHoldOffMillis() * NANOS_PER_MILLI;
        // Requests run for tens of seconds: until the number in flight has dropped to the limit, latency still
        // shows the state before the last decrease.
        if (inHoldOff || (hasDecreased && inFlight > limit)) {
            return;
        }
        limit = Math.max(1, limit * factor);
        decreasedNanos = nowNanos;
        hasDecreased = true;
        if (ramping && limitBeforeRamp == 0) {
            endRamp(nowNanos);
        }
    }

    /**
     * Returns the maximum of the limit in the current window of the ramp.
     *
     * <p>Latency is known one window late. Without this bound, short requests doubled the limit several times within a
     * window, and requests that left slots unused raised it far beyond any number in flight that had been tried.
     */
    private double maxRampLimit() {
        return Math.min(MAX_RAMP_FACTOR * windowStartLimit, MAX_RAMP_FACTOR * Math.max(1, peakInFlight));
    }

    private void endRamp(long nowNanos) {
        ramping = false;
        increasedNanos = nowNanos;
    }

    private void startWindow(long nowNanos) {
        windowNanos = nowNanos;
        windowSum = 0;
        windowSamples = 0;
        windowStartLimit = limit;
        peakInFlight = inFlight;
    }
}
