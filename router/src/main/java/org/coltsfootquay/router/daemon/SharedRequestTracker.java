package org.coltsfootquay.router.daemon;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.protocol.generated.Frame;

/**
 * Tracks the open requests that this router shares with each peer, from the frames sent and received; thread-safe.
 *
 * <p>The connection to a peer with shared requests is probed and stays open when it is idle, because its loss affects
 * these requests.
 */
final class SharedRequestTracker {

    private final Map<RouterId, Set<String>> requestsByPeer = new ConcurrentHashMap<>();

    /** Returns whether any open request is shared with a peer. */
    boolean hasSharedRequests(RouterId peer) {
        Set<String> requests = requestsByPeer.get(peer);
        return requests != null && !requests.isEmpty();
    }

    /** Updates the open requests from a frame that was sent to or received from a peer. */
    void recordFrame(RouterId peer, Frame frame) {
        switch (frame.getBodyCase()) {
            case ENQUEUE -> addRequest(peer, frame.getEnqueue().getRequest());
            case WITHDRAW -> removeRequest(peer, frame.getWithdraw().getRequest());
            case REFUSE -> removeRequest(peer, frame.getRefuse().getRequest());
            case REDIRECT -> removeRequest(peer, frame.getRedirect().getRequest());
            case FINISHED -> removeRequest(peer, frame.getFinished().getRequest());
            default -> {}
        }
    }

    /** Removes a peer whose connection was lost. */
    void removePeer(RouterId peer) {
        requestsByPeer.remove(peer);
    }

    private void addRequest(RouterId peer, String request) {
        requestsByPeer
                .computeIfAbsent(peer, router -> ConcurrentHashMap.newKeySet())
                .add(request);
    }

    private void removeRequest(RouterId peer, String request) {
        Set<String> requests = requestsByPeer.get(peer);
        if (requests != null) {
            requests.remove(request);
        }
    }
}
