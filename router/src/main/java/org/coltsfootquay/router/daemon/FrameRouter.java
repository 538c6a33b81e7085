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
    private final SharedRequestTracker sharedRequests;
    private final Runnable receiptListener;
    private PeerNetwork network;
    private EntryRouter entryRouter;
    private OwnerRouter ownerRouter;
    private BiConsumer<RouterId, Frame> controlFrameHandler;
    private Consumer<RouterId> lossListener;

    FrameRouter(RouterId self, SharedRequestTracker use, Runnable heard) {
        this.self = self;
        this.sharedRequests = use;
        this.receiptListener = heard;
    }

    /** Connects the parts; called once before any frame passes. */
    void connect(
            PeerNetwork newNetwork,
            EntryRouter newEntry,
            OwnerRouter newOwner,
            BiConsumer<RouterId, Frame> newControl,
            Consumer<RouterId> newLost) {
        this.network = newNetwork;
        this.entryRouter = newEntry;
        this.ownerRouter = newOwner;
        this.controlFrameHandler = newControl;
        this.lossListener = newLost;
    }

    @Override
    public boolean send(RouterId receiver, Frame frame) {
        if (receiver.equals(self)) {
            deliver(self, frame);
            return true;
        }
        sharedRequests.recordFrame(receiver, frame);
        return network.send(receiver, frame) == SendResult.ACCEPTED;
    }

    @Override
    public void frameReceived(PeerIdentity from, Frame frame) {
        receiptListener.run();
        sharedRequests.recordFrame(from.router(), frame);
        deliver(from.router(), frame);
    }

    @Override
    public void peerLost(RouterId peer, String reason) {
        sharedRequests.removePeer(peer);
        entryRouter.ownerLost(peer);
        ownerRouter.entryRouterLost(peer);
        lossListener.accept(peer);
    }

    private void deliver(RouterId from, Frame frame) {
        boolean delivered = entryRouter.frameReceived(from, frame) || ownerRouter.handleFrame(from, frame);
        if (!delivered) {
            controlFrameHandler.accept(from, frame);
        }
    }
}
