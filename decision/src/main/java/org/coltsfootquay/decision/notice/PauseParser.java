package org.coltsfootquay.decision.notice;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.regex.Pattern;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Parses the time for which a server asks for no requests.
 *
 * <p>The time is a decimal number of seconds without sign or exponent. Zero asks for no pause. A time above the maximum
 * is reduced to it, so that a mistake of a server does not take it out of service for good. Dates are rejected, since
 * the clocks of servers and routers differ by seconds.
 */
public final class PauseParser {

    /** A double that a server prints has up to 17 digits; longer texts are no time that a server computed. */
    private static final Pattern SECONDS = Pattern.compile("\\d{1,40}(\\.\\d{1,40})?");

    private static final double MILLIS_PER_SECOND = 1000;

    private final Duration maxPause;

    /**
     * Creates a parser.
     *
     * @param maxPause longest pause that is observed
     * @throws IllegalArgumentException if the time is not positive
     */
    public PauseParser(Duration maxPause) {
        ArgumentUtils.requirePositive(maxPause.toMillis(), "maxPause");
        this.maxPause = maxPause;
    }

    /**
     * Parses a time.
     *
     * @param text text, without regard to white space around it
     * @return the pause, {@link Duration#ZERO} for none, or the reason why the text is ignored
     */
    public Either<String, Duration> parse(String text) {
        String number = text.strip();
        if (!SECONDS.matcher(number).matches()) {
            return Either.left("not a number of seconds");
        }
        double millis = Double.parseDouble(number) * MILLIS_PER_SECOND;
        return Either.right(Duration.ofMillis((long) Math.ceil(Math.min(millis, (double) maxPause.toMillis()))));
    }
}
