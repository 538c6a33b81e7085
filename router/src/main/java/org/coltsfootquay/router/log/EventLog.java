package org.coltsfootquay.router.log;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;

/**
 * Logs each event as one line of {@code key=value} pairs; thread-safe.
 *
 * <p>The rate of lines per event name is limited; the next line that is logged states how many were suppressed. Callers
 * must not pass credentials or prompt text.
 */
public final class EventLog {

    /** Maximum lines of one event name per second, several times the usual request rate of one router. */
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
     * Creates an event log with the name of a class.
     *
     * @param owner class whose events are logged
     * @return event log
     */
    public static EventLog of(Class<?> owner) {
        return new EventLog(Logger.getLogger(owner), System::nanoTime);
    }

    /**
     * Logs an event of normal operation.
     *
     * @param event name of the event
     * @param keysAndValues alternating keys and values
     */
    public void info(String event, Object... keysAndValues) {
        log(Logger.Level.INFO, event, keysAndValues);
    }

    /**
     * Logs an event that requires the attention of an operator.
     *
     * @param event name of the event
     * @param keysAndValues alternating keys and values
     */
    public void warn(String event, Object... keysAndValues) {
        log(Logger.Level.WARN, event, keysAndValues);
    }

    /**
     * Logs an event with its fields.
     *
     * @param event name of the event
     * @param fields fields in the order of output
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
     * Formats an event as a log line.
     *
     * @param event name of the event
     * @param keysAndValues alternating keys and values
     * @return formatted line
     */
    public static String formatLine(String event, Object... keysAndValues) {
        StringBuilder line = new StringBuilder(96).append("event=").append(event);
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            line.append(' ').append(keysAndValues[i]).append('=');
            appendValue(line, String.valueOf(keysAndValues[i + 1]));
        }
        return line.toString();
    }

    private void log(Logger.Level level, String event, Object... keysAndValues) {
        if (!logger.isEnabled(level)) {
            return;
        }
        long suppressed =
                windows.computeIfAbsent(event, name -> new RateLimitWindow()).admit(clock.getAsLong());
        if (suppressed < 0) {
            return;
        }
        String line = formatLine(event, keysAndValues);
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

        /** Returns the number of lines suppressed before this one, or -1 if this one must be suppressed. */
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
            long suppressedBefore = suppressed;
            suppressed = 0;
            return suppressedBefore;
        }
    }
}
