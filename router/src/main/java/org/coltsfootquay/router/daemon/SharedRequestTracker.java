package org.coltsfootquay.router.daemon;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.protocol.generated.Frame;

/**
 * Which peers this router shares requests with, learned from the frames that pass; thread-safe.
 *
 * <p>The connection to such a peer is probed and is not closed when it is idle, because its loss matters.
 */
final class SharedRequestTracker {

    private final Map<RouterId, Set<String>> requestsByPeer = new ConcurrentHashMap<>();

    /** Tells whether requests are shared with a peer now. */
    boolean hasSharedRequests(RouterId peer) {
        Set<String> open = requestsByPeer.get(peer);
        return open != null && !open.isEmpty();
    }

    /** Notes a frame that was sent to or received from a peer. */
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

    /** Forgets a peer whose connection was lost. */
    void removePeer(RouterId peer) {
        requestsByPeer.remove(peer);
    }

    private void addRequest(RouterId peer, String request) {
        requestsByPeer.computeIfAbsent(peer, router -> ConcurrentHashMap.newKeySet()).add(request);
    }

    private void removeRequest(RouterId peer, String request) {
        Set<String> open = requestsByPeer.get(peer);
        if (open != null) {
            open.remove(request);
        }
    }
}
