package org.coltsfootquay.router.forward;

import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.selection.LoadTracker;
import org.coltsfootquay.decision.selection.Prompt;
import org.coltsfootquay.decision.selection.SelectedServer;
import org.coltsfootquay.decision.selection.ServerLoad;

/** Place that one request takes at a server, from the choice of the server until the request is done there. */
final class Reservation {

    private final LoadTracker loads;
    private ServerName server;
    private ServerLoad load = ServerLoad.NONE;

    Reservation(LoadTracker loads) {
        this.loads = loads;
    }

    /** Takes a place. */
    void reserve(SelectedServer candidate, Prompt prompt) {
        release();
        server = candidate.entry().server();
        load = ServerLoad.ofRequest(prompt, candidate.prefillTokens());
        loads.addLocal(server, load);
    }

    /** Notes that the server has read the prompt. */
    void promptProcessed() {
        if (load.unreadTokens() > 0) {
            ServerLoad read = new ServerLoad(0, -load.unreadTokens(), 0);
            loads.addLocal(server, read);
            load = load.plus(read);
        }
    }

    /** Gives the place back; has no effect when there is none. */
    void release() {
        if (!load.equals(ServerLoad.NONE)) {
            loads.addLocal(server, load.negated());
            load = ServerLoad.NONE;
        }
    }
}
