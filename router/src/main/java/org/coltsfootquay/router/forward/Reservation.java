package org.coltsfootquay.router.forward;

import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.selection.Candidate;
import org.coltsfootquay.decision.selection.LoadBoard;
import org.coltsfootquay.decision.selection.Prompt;
import org.coltsfootquay.decision.selection.ServerLoad;

/** Place that one request takes at a server, from the choice of the server until the request is done there. */
final class Reservation {

    private final LoadBoard loads;
    private ServerName server;
    private ServerLoad load = ServerLoad.NONE;

    Reservation(LoadBoard loads) {
        this.loads = loads;
    }

    /** Takes a place. */
    void reserve(Candidate candidate, Prompt prompt) {
        release();
        server = candidate.entry().server();
        load = ServerLoad.ofRequest(prompt, candidate.newTokens());
        loads.change(server, load);
    }

    /** Notes that the server has read the prompt. */
    void promptProcessed() {
        if (load.unreadTokens() > 0) {
            ServerLoad read = new ServerLoad(0, -load.unreadTokens(), 0);
            loads.change(server, read);
            load = load.plus(read);
        }
    }

    /** Gives the place back; has no effect when there is none. */
    void release() {
        if (!load.equals(ServerLoad.NONE)) {
            loads.change(server, load.negated());
            load = ServerLoad.NONE;
        }
    }
}
