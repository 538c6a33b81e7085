package org.coltsfootquay.router.forward;

import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.selection.LoadTracker;
import org.coltsfootquay.decision.selection.Prompt;
import org.coltsfootquay.decision.selection.SelectedServer;
import org.coltsfootquay.decision.selection.ServerLoad;

/** Load that one request adds to a server, from the selection of the server until the request ends there. */
final class Reservation {

    private final LoadTracker loads;
    private ServerName server;
    private ServerLoad load = ServerLoad.NONE;
    private long dueNanos = Long.MAX_VALUE;

    Reservation(LoadTracker loads) {
        this.loads = loads;
    }

    /** Adds the load of the request to a server and releases the load reserved before. */
    void reserve(SelectedServer selectedServer, Prompt prompt) {
        release();
        server = selectedServer.entry().server();
        load = ServerLoad.ofRequest(prompt, selectedServer.prefillTokens());
        loads.addLocal(server, load);
        dueNanos = Long.MAX_VALUE;
    }

    /** Sets the time by which the first event should have arrived. */
    void expectFirstEventBy(long expectedNanos) {
        dueNanos = expectedNanos;
    }

    /** Counts the unread tokens as overdue if the first event should have arrived; returns whether it is awaited. */
    boolean updateOverdue(long nowNanos) {
        if (load.unreadTokens() == 0) {
            return false;
        }
        if (nowNanos >= dueNanos && load.overdueTokens() == 0) {
            change(new ServerLoad(0, 0, 0, load.unreadTokens()));
        }
        return true;
    }

    /** Removes the unread prompt tokens from the load after the server has processed the prompt. */
    void promptProcessed() {
        if (load.unreadTokens() > 0) {
            change(new ServerLoad(0, -load.unreadTokens(), 0, -load.overdueTokens()));
        }
    }

    /** Removes the reserved load from the server; has no effect if none is reserved. */
    void release() {
        if (!load.equals(ServerLoad.NONE)) {
            loads.addLocal(server, load.negated());
            load = ServerLoad.NONE;
        }
    }

    private void change(ServerLoad difference) {
        loads.addLocal(server, difference);
        load = load.plus(difference);
    }
}
