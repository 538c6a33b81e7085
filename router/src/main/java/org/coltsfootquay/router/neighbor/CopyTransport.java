package org.coltsfootquay.router.neighbor;

import java.util.function.Consumer;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.router.state.TableSnapshot;
import org.coltsfootquay.router.state.WatchedTable;

/** Transport for copies of tables between routers; calls do not block. */
public interface CopyTransport {

    /**
     * Requests a peer's copy of a table.
     *
     * @param peer peer
     * @param table table
     * @param consumer receives the copy
     * @param onDone runs when the copy was received or the attempt has failed
     */
    void fetch(PeerRouter peer, WatchedTable table, Consumer<TableSnapshot> consumer, Runnable onDone);
}
