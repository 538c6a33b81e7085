package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Locale;

/** Times after which refused callers should return. */
final class RetryAfter {

    /** No server may get the request: registrations and unreachable servers change within about half a second. */
    static final Duration NO_SERVER = Duration.ofMillis(400);

    /** Servers are full: about the time in which the requests that wait for their first event are read. */
    static final Duration OVERLOAD = Duration.ofMillis(700);

    /** The router has no configuration yet: it reads one within about this time of its start. */
    static final Duration NO_CONFIGURATION = Duration.ofMillis(200);

    private static final double MILLIS_PER_SECOND = 1000.0;

    private RetryAfter() {}

    static void set(HttpHeaders headers, Duration after) {
        headers.set(
                HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", after.toMillis() / MILLIS_PER_SECOND));
    }
}
