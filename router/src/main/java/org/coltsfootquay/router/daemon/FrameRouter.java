package org.coltsfootquay.router.daemon;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.router.entry.EntryRouter;
import org.coltsfootquay.router.entry.OwnerPort;
import org.coltsfootquay.router.owner.OwnerRouter;
import org.coltsfootquay.router.peer.PeerIdentity;
import org.coltsfootquay.router.peer.PeerListener;
import org.coltsfootquay.router.peer.PeerNetwork;
import org.coltsfootquay.router.peer.SendResult;

/**
 * Passes frames between the network and the parts of the router; thread-safe.
 *
 * <p>A frame that the router sends to itself takes the same path without a socket.
 */
final class FrameRouter implements PeerListener, OwnerPort {

    private final RouterId self;
    private final PeerUse use;
    private final Runnable heard;
    private PeerNetwork network;
    private EntryRouter entry;
    private OwnerRouter owner;
    private BiConsumer<RouterId, Frame> control;
    private Consumer<RouterId> lost;

    FrameRouter(RouterId self, PeerUse use, Runnable heard) {
        this.self = self;
        this.use = use;
        this.heard = heard;
    }

    /** Connects the parts; called once before any frame passes. */
    void connect(
            PeerNetwork newNetwork,
            EntryRouter newEntry,
            OwnerRouter newOwner,
            BiConsumer<RouterId, Frame> newControl,
            Consumer<RouterId> newLost) {
        this.network = newNetwork;
        this.entry = newEntry;
        this.owner = newOwner;
        this.control = newControl;
        this.lost = newLost;
    }

    @Override
    public boolean send(RouterId receiver, Frame frame) {
        if (receiver.equals(self)) {
            deliver(self, frame);
            return true;
        }
        use.passed(receiver, frame);
        return network.send(receiver, frame) == SendResult.ACCEPTED;
    }

    @Override
    public void frameReceived(PeerIdentity from, Frame frame) {
        heard.run();
        use.passed(from.router(), frame);
        deliver(from.router(), frame);
    }

    @Override
    public void peerLost(RouterId peer, String reason) {
        use.lost(peer);
        entry.ownerLost(peer);
        owner.entryRouterLost(peer);
        lost.accept(peer);
    }

    private void deliver(RouterId from, Frame frame) {
        boolean delivered = entry.frameReceived(from, frame) || owner.handleFrame(from, frame);
        if (!delivered) {
            control.accept(from, frame);
        }
    }
}
