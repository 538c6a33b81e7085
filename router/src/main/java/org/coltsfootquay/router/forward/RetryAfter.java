package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;

/** Times after which refused callers should return. */
final class RetryAfter {

    /** No server may get the request: registrations and unreachable servers change within about half a second. */
    static final Duration NO_SERVER = Duration.ofMillis(400);

    /** Servers are full: about the time in which the requests that wait for their first event are read. */
    static final Duration OVERLOAD = Duration.ofMillis(700);

    /** The router has no configuration yet: it reads one within about this time of its start. */
    static final Duration NO_CONFIGURATION = Duration.ofMillis(200);

    /** Shortest and longest time after which a caller refused for lack of room returns, milliseconds. */
    private static final long SHORTEST_MILLIS = 150;

    private static final long LONGEST_MILLIS = 3000;

    /** Part of a time that is random, so that callers refused together do not return together. */
    private static final double SPREAD = 0.4;

    /** Part of the target up to which the queue should have fallen when the caller returns. */
    private static final double ROOM = 0.4;

    private static final double MILLIS_PER_SECOND = 1000.0;

    private RetryAfter() {}

    /** Returns the time in which a queue falls below a part of the target, spread at random. */
    static Duration forQueueTime(Duration queue, Duration target) {
        double millis = queue.toMillis() - ROOM * target.toMillis();
        double spread = 1 + SPREAD * (ThreadLocalRandom.current().nextDouble() - 0.5);
        return Duration.ofMillis((long) Math.min(LONGEST_MILLIS, Math.max(SHORTEST_MILLIS, millis) * spread));
    }

    static void setHeader(HttpHeaders headers, Duration after) {
        headers.set(
                HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", after.toMillis() / MILLIS_PER_SECOND));
    }
}
