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

    Reservation(LoadTracker loads) {
        this.loads = loads;
    }

    /** Adds the load of the request to a server and releases the load reserved before. */
    void reserve(SelectedServer selectedServer, Prompt prompt) {
        release();
        server = selectedServer.entry().server();
        load = ServerLoad.ofRequest(prompt, selectedServer.prefillTokens());
        loads.addLocal(server, load);
    }

    /** Removes the unread prompt tokens from the load after the server has processed the prompt. */
    void promptProcessed() {
        if (load.unreadTokens() > 0) {
            ServerLoad processed = new ServerLoad(0, -load.unreadTokens(), 0);
            loads.addLocal(server, processed);
            load = load.plus(processed);
        }
    }

    /** Removes the reserved load from the server; has no effect if none is reserved. */
    void release() {
        if (!load.equals(ServerLoad.NONE)) {
            loads.addLocal(server, load.negated());
            load = ServerLoad.NONE;
        }
    }
}
