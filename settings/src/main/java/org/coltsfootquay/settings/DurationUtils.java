package org.coltsfootquay.settings;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations with a unit, for example {@code 900ms}, {@code 20s}, {@code 5m}, {@code 1h}. */
public final class DurationUtils {

    private static final Pattern DURATION_PATTERN = Pattern.compile("(\\d{1,12})(ms|s|m|h)");
    private static final long SECONDS_PER_HOUR = 3600;
    private static final long SECONDS_PER_MINUTE = 60;

    private DurationUtils() {}

    /**
     * Parses a duration.
     *
     * @param text duration with a unit, for example {@code 900ms}; may be null
     * @return the duration, or empty if the text is null or not 1 to 12 digits followed by {@code ms}, {@code s},
     *     {@code m} or {@code h}
     */
    public static Optional<Duration> parse(String text) {
        Matcher matcher = DURATION_PATTERN.matcher(text == null ? "" : text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long count = Long.parseLong(matcher.group(1));
        return Optional.of(
                switch (matcher.group(2)) {
                    case "ms" -> Duration.ofMillis(count);
                    case "s" -> Duration.ofSeconds(count);
                    case "m" -> Duration.ofMinutes(count);
                    default -> Duration.ofHours(count);
                });
    }

    /**
     * Formats a duration in the largest unit that represents it as a whole number.
     *
     * @param duration non-negative duration in whole milliseconds
     * @return formatted duration, which {@link #parse(String)} accepts
     */
    public static String format(Duration duration) {
        long millis = duration.toMillis();
        long seconds = duration.toSeconds();
        if (millis == 0 || millis % 1000 != 0) {
            return millis + "ms";
        }
        if (seconds % SECONDS_PER_HOUR == 0) {
            return seconds / SECONDS_PER_HOUR + "h";
        }
        return seconds % SECONDS_PER_MINUTE == 0 ? seconds / SECONDS_PER_MINUTE + "m" : seconds + "s";
    }
}
