package org.coltsfootquay.router.log;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;

/**
 * Log of events as one line of {@code key=value} pairs each.
 *
 * <p>Thread-safe. Lines of one event name are limited in rate; the next line that passes says how many were left out.
 * Callers never pass keys or prompt text.
 */
public final class EventLog {

    /** Lines of one event name that pass each second: several times the usual requests of one router. */
    private static final int LINES_PER_SECOND = 60;

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final Logger logger;
    private final LongSupplier clock;
    private final ConcurrentHashMap<String, RateLimitWindow> windows = new ConcurrentHashMap<>();

    private EventLog(Logger logger, LongSupplier clock) {
        this.logger = logger;
        this.clock = clock;
    }

    /**
     * Creates a log with the name of a class.
     *
     * @param owner class
     * @return the log
     */
    public static EventLog of(Class<?> owner) {
        return new EventLog(Logger.getLogger(owner), System::nanoTime);
    }

    /**
     * Logs an event of normal operation.
     *
     * @param event name of the event
     * @param namesAndValues names and values in turn
     */
    public void info(String event, Object... namesAndValues) {
        log(Logger.Level.INFO, event, namesAndValues);
    }

    /**
     * Logs an event that an operator should look at.
     *
     * @param event name of the event
     * @param namesAndValues names and values in turn
     */
    public void warn(String event, Object... namesAndValues) {
        log(Logger.Level.WARN, event, namesAndValues);
    }

    /**
     * Logs an event with its fields.
     *
     * @param event name of the event
     * @param fields fields in order
     */
    public void info(String event, Map<String, String> fields) {
        Object[] pairs = new Object[fields.size() * 2];
        int i = 0;
        for (Map.Entry<String, String> field : fields.entrySet()) {
            pairs[i++] = field.getKey();
            pairs[i++] = field.getValue();
        }
        log(Logger.Level.INFO, event, pairs);
    }

    /**
     * Formats a line.
     *
     * @param event name of the event
     * @param namesAndValues names and values in turn
     * @return the line
     */
    public static String formatLine(String event, Object... namesAndValues) {
        StringBuilder line = new StringBuilder(96).append("event=").append(event);
        for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
            line.append(' ').append(namesAndValues[i]).append('=');
            appendValue(line, String.valueOf(namesAndValues[i + 1]));
        }
        return line.toString();
    }

    private void log(Logger.Level level, String event, Object... namesAndValues) {
        if (!logger.isEnabled(level)) {
            return;
        }
        long suppressed = windows.computeIfAbsent(event, name -> new RateLimitWindow()).admit(clock.getAsLong());
        if (suppressed < 0) {
            return;
        }
        String line = formatLine(event, namesAndValues);
        logger.log(level, suppressed == 0 ? line : line + " suppressed=" + suppressed);
    }

    private static void appendValue(StringBuilder line, String value) {
        boolean plain = !value.isEmpty();
        for (int i = 0; i < value.length() && plain; i++) {
            char c = value.charAt(i);
            plain = c > ' ' && c != '"' && c != '=' && c != 0x7f;
        }
        if (plain) {
            line.append(value);
            return;
        }
        line.append('"');
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == '"' || c == '\\') {
                line.append('\\').append(c);
            } else {
                line.append(c < ' ' || c == 0x7f ? ' ' : c);
            }
        }
        line.append('"');
    }

    private static final class RateLimitWindow {

        private long startNanos = Long.MIN_VALUE;
        private int lines;
        private long suppressed;

        /** Returns the number of lines left out before this one, or -1 when this one must be left out. */
        private synchronized long admit(long nowNanos) {
            if (startNanos == Long.MIN_VALUE || nowNanos - startNanos >= SECOND_NANOS) {
                startNanos = nowNanos;
                lines = 0;
            }
            if (lines >= LINES_PER_SECOND) {
                suppressed++;
                return -1;
            }
            lines++;
            long before = suppressed;
            suppressed = 0;
            return before;
        }
    }
}
