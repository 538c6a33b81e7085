package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import org.coltsfootquay.decision.quarantine.PartQuarantine;

/** Values of the Retry-After header for rejected requests. */
final class RetryAfter {

    /** No server is eligible: registrations and the set of unreachable servers change within about half a second. */
    static final Duration NO_SERVER = Duration.ofMillis(400);

    /**
     * Servers are at capacity: about the time in which they process the prompts of the requests that wait for their
     * first event.
     */
    static final Duration OVERLOAD = Duration.ofMillis(700);

    /** The router is overloaded: a new connection leads to another router, which may accept the request at once. */
    static final Duration ROUTER_OVERLOADED = Duration.ofMillis(100);

    /** The router has no configuration yet: it reads one within about this time after its start. */
    static final Duration NO_CONFIGURATION = Duration.ofMillis(200);

    /**
     * A part of the prompt seems to crash servers: by then the answers of other routers have acquitted the part, or the
     * caller is told not to retry.
     */
    static final Duration QUARANTINE_SETTLED = PartQuarantine.SETTLING_TIME;

    /** Bounds on the retry time after a rejection for lack of capacity, milliseconds. */
    private static final long MIN_MILLIS = 150;

    private static final long MAX_MILLIS = 3000;

    /** Fraction of the retry time that is random, so that callers rejected at the same time do not retry together. */
    private static final double JITTER = 0.4;

    /** Fraction of the target latency to which the queue time should have fallen when the caller retries. */
    private static final double TARGET_QUEUE_SHARE = 0.4;

    /** Time over which callers return after a pause of all servers; a server returns to full load in about as long. */
    private static final Duration MAX_RETURN_SPREAD = Duration.ofSeconds(1);

    private static final double MILLIS_PER_SECOND = 1000.0;

    private RetryAfter() {}

    /** Returns the time, with random jitter, in which a queue drains to a fraction of the target latency. */
    static Duration forQueueTime(Duration queueTime, Duration target) {
        double millis = queueTime.toMillis() - TARGET_QUEUE_SHARE * target.toMillis();
        double jitter = 1 + JITTER * (ThreadLocalRandom.current().nextDouble() - 0.5);
        return Duration.ofMillis((long) Math.min(MAX_MILLIS, Math.max(MIN_MILLIS, millis) * jitter));
    }

    /** Returns the time, without a random part, in which a queue drains to a fraction of the target latency. */
    static Duration queueEnd(Duration queueTime, Duration target) {
        long millis = (long) (queueTime.toMillis() - TARGET_QUEUE_SHARE * target.toMillis());
        return Duration.ofMillis(Math.min(MAX_MILLIS, Math.max(MIN_MILLIS, millis)));
    }

    /** Returns a retry time after a rejection for lack of capacity, or the longest one if it is shorter. */
    static Duration atMostMax(Duration time) {
        return time.toMillis() > MAX_MILLIS ? Duration.ofMillis(MAX_MILLIS) : time;
    }

    /**
     * Returns the time until the first paused server accepts requests, plus a random part in which it serves the
     * requests that return one after the other.
     */
    static Duration forPauseEnd(Duration pauseEnd) {
        double spread =
                MAX_RETURN_SPREAD.toMillis() * ThreadLocalRandom.current().nextDouble();
        return pauseEnd.plusMillis((long) spread);
    }

    static void setHeader(HttpHeaders headers, Duration after) {
        headers.set(
                HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", after.toMillis() / MILLIS_PER_SECOND));
    }
}
