package org.coltsfootquay.cli;

import java.io.FilterOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.OutputStreamHandler;

/** Log output of a process: one line of key=value pairs for each event. */
public final class LogUtils {

    private static final String PATTERN = "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level=%p %s%n";

    private LogUtils() {}

    /**
     * Sends log lines of a level and above to a stream and removes the handlers that were there before.
     *
     * @param stream receiver; it is not closed
     * @param level lowest level that is written
     */
    public static void writeTo(PrintStream stream, Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        OutputStreamHandler handler = new OutputStreamHandler(unclosed(stream), new PatternFormatter(PATTERN));
        handler.setAutoFlush(true);
        handler.setLevel(level);
        root.addHandler(handler);
        root.setLevel(level);
    }

    private static OutputStream unclosed(PrintStream stream) {
        return new FilterOutputStream(stream) {
            @Override
            public void write(byte[] bytes, int offset, int length) {
                stream.write(bytes, offset, length);
            }

            @Override
            public void close() {
                stream.flush();
            }
        };
    }
}
