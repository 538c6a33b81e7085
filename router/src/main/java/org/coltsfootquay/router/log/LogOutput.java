package org.coltsfootquay.router.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Configures the log output of a router process: one line of key=value pairs per event, written asynchronously. */
public final class LogOutput {

    private static final String PATTERN = "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level=%p %s%n";

    /** Maximum number of queued lines; further lines are dropped, so that a stalled reader never blocks the router. */
    private static final int QUEUE_LINES = 2048;

    private LogOutput() {}

    /** Replaces all handlers of the root logger by one that writes to standard output. */
    public static void toStandardOutput() {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler console = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT, new PatternFormatter(PATTERN));
        console.setAutoFlush(true);
        AsyncHandler handler = new AsyncHandler(QUEUE_LINES);
        handler.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        handler.addHandler(console);
        handler.setLevel(Level.INFO);
        root.addHandler(handler);
        root.setLevel(Level.INFO);
    }
}
