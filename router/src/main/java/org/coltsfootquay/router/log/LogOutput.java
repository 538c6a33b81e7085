package org.coltsfootquay.router.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Log output of a router process: one line of key=value pairs for each event, written by a thread of its own. */
public final class LogOutput {

    private static final String PATTERN = "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level=%p %s%n";

    /** Lines that wait to be written; more are dropped, so that a reader that stalls never stops the router. */
    private static final int QUEUE_LINES = 2048;

    private LogOutput() {}

    /** Sends log lines to standard output and removes the handlers that were there before. */
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
