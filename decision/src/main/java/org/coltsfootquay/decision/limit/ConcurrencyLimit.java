package org.coltsfootquay.decision.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.coltsfootquay.decision.common.RequestClassName;
import org.coltsfootquay.decision.configuration.ServiceKind;

/**
 * Number of requests that may be in flight on one server: additive increase, multiplicative decrease, and the ramp of a
 * cold server.
 *
 * <p>Latency is judged as the ratio of a measured value to its target, so that classes with different targets can share
 * a server. Samples are averaged over one second before they are judged: a single long token interval is usually the
 * prefill of another request and says nothing about the number of requests.
 */
public final class ConcurrencyLimit {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long WINDOW_NANOS = 1_000 * NANOS_PER_MILLI;
    private static final double USUAL_WEIGHT = 0.1;

    /** Part of the target that a cut aims at: a cut to 0.7 for an excess of a few percent leaves capacity unused. */
    private static final double BELOW_TARGET = 0.97;

    /** Largest growth of the limit in one window of the ramp. */
    private static final double RAMP_GROWTH = 2;

    /** Windows that must be seen before "usual" latency is known. */
    private static final int USUAL_WINDOWS = 5;

    private final ConcurrencyLimitSettings settings;
    private final ServiceKind kind;
    private final Map<RequestClassName, Double> smallestMillis = new HashMap<>();

    private double limit = 1;
    private boolean isRamping;
    private double limitBeforeRamp;

    /** Requests in flight as last reported by the dispatcher. */
    private int inFlight;

    /** Most requests in flight since the present window began. */
    private int peakInFlight;

    private double windowStartLimit = 1;
    private boolean fullyUsed;

    /** Whether a window since the last growth had samples and was within the target; silence is no reason to grow. */
    private boolean withinTarget;

    private long grownNanos;
    private long cutNanos;
    private boolean cutBefore;
    private long windowNanos;
    private double windowSum;
    private int windowSamples;
    private double usualRatio;
    private int usualWindows;
    private long uptimeMillis = -1;

    /** Requests that a cold server last said it can handle; 0 when it said nothing. */
    private int bearableRequests;

    private long brokenNanos;
    private boolean brokenBefore;

    /** Whether the ramp began on broken connections only; a load report measured later can end it. */
    private boolean suspected;

    private long rampNanos;

    /**
     * Creates the limit of a server without history, which starts in the ramp.
     *
     * @param settings figures
     * @param kind kind of the server's service
     * @param nowNanos current time
     */
    public ConcurrencyLimit(ConcurrencyLimitSettings settings, ServiceKind kind, long nowNanos) {
        this.settings = settings;
        this.kind = kind;
        this.isRamping = true;
        this.grownNanos = nowNanos;
        this.windowNanos = nowNanos;
    }

    /**
     * Returns the present limit.
     *
     * @return requests, at least 1
     */
    public int limit() {
        return (int) Math.floor(limit);
    }

    /**
     * Tells whether the ramp of a cold server is active.
     *
     * @return true in a cold start
     */
    public boolean isRamping() {
        return isRamping;
    }

    /**
     * Returns the limit that the ramp leads back to.
     *
     * @return former limit, or 0 when the server has no history
     */
    public int limitBeforeRamp() {
        return (int) limitBeforeRamp;
    }

    /**
     * Takes over the limit that a former owner measured.
     *
     * @param knownLimit limit of the former owner, at least 1
     * @param cold whether the server was in a cold start
     */
    public void restore(double knownLimit, boolean cold) {
        limitBeforeRamp = Math.max(1, Math.min(settings.maxLimit(), knownLimit));
        isRamping = cold;
        if (!cold) {
            limit = limitBeforeRamp;
        }
    }

    /**
     * Notes the requests in flight after a grant or an end.
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
     * Notes the token interval of a stream.
     *
     * @param worstMillis longest time between tokens since the last report
     * @param targetMillis target of the class; 0 when it has none
     * @param nowNanos current time
     */
    public void recordTokenInterval(int worstMillis, int targetMillis, long nowNanos) {
        if (kind == ServiceKind.MODEL && worstMillis > 0) {
            int target = targetMillis > 0 ? targetMillis : settings.defaultTokenIntervalMillis();
            sample((double) worstMillis / target, nowNanos);
        }
    }

    /**
     * Notes a completed request.
     *
     * @param classOfWork class of the request
     * @param serverMillis time from the send to the end
     * @param nowNanos current time
     */
    public void recordCompletion(RequestClassName classOfWork, long serverMillis, long nowNanos) {
        if (isRamping) {
            double ceiling = bearableRequests > 0 ? bearableRequests : settings.maxLimit();
            limit = Math.min(ceiling, Math.max(limit, Math.min(limit + 1, rampCeiling())));
            if (limitBeforeRamp > 0 && limit >= limitBeforeRamp) {
                limit = limitBeforeRamp;
                endRamp(nowNanos);
            }
        }
        if (kind == ServiceKind.APPLICATION) {
            double millis = Math.max(1, serverMillis);
            double smallest = smallestMillis.merge(classOfWork, millis, (old, now) -> Math.min(old * 1.001, now));
            sample(millis / smallest / settings.applicationLatencyRatio(), nowNanos);
        }
    }

    /**
     * Notes a request that failed on the server or whose connection broke.
     *
     * @param nowNanos current time
     */
    public void recordFailure(long nowNanos) {
        cut(nowNanos, settings.decreaseFactor());
    }

    /**
     * Notes that the connection to the server could not be made or broke.
     *
     * <p>Two within a second mean that the server may have restarted. Waiting for its load report would give the
     * slots of the broken streams to a cold server at once.
     *
     * @param nowNanos current time
     */
    public void recordBrokenConnection(long nowNanos) {
        boolean again = brokenBefore && nowNanos - brokenNanos < WINDOW_NANOS;
        brokenBefore = true;
        brokenNanos = nowNanos;
        if (again) {
            suspected |= !isRamping;
            startColdRamp(OptionalInt.empty(), nowNanos);
        } else {
            cut(nowNanos, settings.decreaseFactor());
        }
    }

    /**
     * Starts the ramp, or restarts it when it is active.
     *
     * @param bearable requests that the server says it can handle, if it says so
     * @param nowNanos current time
     */
    public void startColdRamp(OptionalInt bearable, long nowNanos) {
        if (!isRamping) {
            limitBeforeRamp = limit;
            isRamping = true;
            limit = bearable.orElse(1);
        } else {
            limit = bearable.orElse((int) Math.max(1, Math.min(limit, inFlight - 1)));
        }
        limit = Math.max(1, limit);
        rampNanos = nowNanos;
        startWindow(nowNanos);
    }

    /**
     * Starts the ramp of a server that did not admit work for some time, for example because its zone had left.
     *
     * @param nowNanos current time
     */
    public void startRampAfterPause(long nowNanos) {
        if (isRamping) {
            limit = Math.max(1, inFlight);
        } else {
            limitBeforeRamp = limit;
            isRamping = true;
            limit = Math.max(1, inFlight);
        }
        rampNanos = nowNanos;
        startWindow(nowNanos);
    }

    /**
     * Notes a load report of the server.
     *
     * @param running requests the server executes
     * @param waiting requests the server holds back
     * @param cold whether the server says that it is cold
     * @param bearable requests that it says it can handle now, if it says so
     * @param reportedUptimeMillis time since its process started
     * @param measuredNanos time that the figures are from
     * @param nowNanos current time
     */
    public void recordLoadReport(
            int running,
            int waiting,
            boolean cold,
            OptionalInt bearable,
            long reportedUptimeMillis,
            long measuredNanos,
            long nowNanos) {
        boolean restarted = uptimeMillis >= 0 && reportedUptimeMillis < uptimeMillis;
        boolean firstReport = uptimeMillis < 0;
        uptimeMillis = reportedUptimeMillis;
        bearableRequests = cold ? bearable.orElse(0) : 0;
        boolean recent = firstReport && reportedUptimeMillis < settings.recentStartMillis();
        if (restarted || recent || (cold && !isRamping)) {
            suspected = false;
            startColdRamp(bearable, nowNanos);
        } else if (suspected && !cold && measuredNanos > brokenNanos) {
            suspected = false;
            limit = Math.max(1, limitBeforeRamp);
            endRamp(nowNanos);
        } else if (cold && bearable.isPresent()) {
            limit = Math.max(1, bearable.getAsInt());
        } else if (isRamping
                && measuredNanos > rampNanos
                && waiting == 0
                && reportedUptimeMillis >= settings.recentStartMillis()) {
            limit = Math.max(limit, running);
        }
        if (waiting > 0 && running > 0 && running < limit && !isRamping) {
            limit = Math.max(1, running);
        }
    }

    /**
     * Lets time pass.
     *
     * @param nowNanos current time
     */
    public void tick(long nowNanos) {
        if (nowNanos - windowNanos >= WINDOW_NANOS) {
            closeWindow(nowNanos);
        }
        if (nowNanos - grownNanos >= WINDOW_NANOS) {
            double seconds = Math.min(2, (nowNanos - grownNanos) / 1e9);
            if (fullyUsed && !isRamping && withinTarget) {
                limit = Math.min(settings.maxLimit(), limit + settings.increasePerSecond() * seconds);
            }
            fullyUsed = false;
            withinTarget = false;
            grownNanos = nowNanos;
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
            boolean usualKnown = usualWindows >= USUAL_WINDOWS;
            if (usualKnown && !isRamping && mean > 1 && mean > settings.coldLatencyRatio() * usualRatio) {
                startColdRamp(OptionalInt.empty(), nowNanos);
            } else if (mean > 1) {
                withinTarget = false;
                cut(nowNanos, Math.max(settings.decreaseFactor(), BELOW_TARGET / mean));
            } else {
                withinTarget = true;
                usualRatio = usualWindows == 0 ? mean : usualRatio + USUAL_WEIGHT * (mean - usualRatio);
                usualWindows++;
            }
        }
        startWindow(nowNanos);
    }

    private void cut(long nowNanos, double factor) {
        boolean held = cutBefore && nowNanos - cutNanos < settings.decreaseHoldOffMillis() * NANOS_PER_MILLI;
        // Requests run for tens of seconds: until the requests in flight have come down to the limit, latency still
        // shows the state before the last cut.
        if (held || (cutBefore && inFlight > limit)) {
            return;
        }
        limit = Math.max(1, limit * factor);
        cutNanos = nowNanos;
        cutBefore = true;
        if (isRamping && limitBeforeRamp == 0) {
            endRamp(nowNanos);
        }
    }

    /**
     * Returns the limit up to which the ramp may grow now.
     *
     * <p>Latency is known one window late. Without a bound short requests doubled the limit several times within a
     * window, and requests that left slots unused raised it far beyond what the server had ever been tried with.
     */
    private double rampCeiling() {
        return Math.min(RAMP_GROWTH * windowStartLimit, RAMP_GROWTH * Math.max(1, peakInFlight));
    }

    private void endRamp(long nowNanos) {
        isRamping = false;
        grownNanos = nowNanos;
    }

    private void startWindow(long nowNanos) {
        windowNanos = nowNanos;
        windowSum = 0;
        windowSamples = 0;
        windowStartLimit = limit;
        peakInFlight = inFlight;
    }
}
