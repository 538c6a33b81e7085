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
 * Routes frames between the peer network and the components of this router; thread-safe.
 *
 * <p>A frame that the router sends to itself is delivered directly, without a socket.
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

    FrameRouter(RouterId self, SharedRequestTracker sharedRequests, Runnable receiptListener) {
        this.self = self;
        this.sharedRequests = sharedRequests;
        this.receiptListener = receiptListener;
    }

    /** Sets the components; called once before any frame is sent or received. */
    void connect(
            PeerNetwork newNetwork,
            EntryRouter newEntryRouter,
            OwnerRouter newOwnerRouter,
            BiConsumer<RouterId, Frame> newControlFrameHandler,
            Consumer<RouterId> newLossListener) {
        this.network = newNetwork;
        this.entryRouter = newEntryRouter;
        this.ownerRouter = newOwnerRouter;
        this.controlFrameHandler = newControlFrameHandler;
        this.lossListener = newLossListener;
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
