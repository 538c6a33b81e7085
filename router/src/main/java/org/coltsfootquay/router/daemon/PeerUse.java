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
final class PeerUse {

    private final Map<RouterId, Set<String>> requests = new ConcurrentHashMap<>();

    /** Tells whether requests are shared with a peer now. */
    boolean inUse(RouterId peer) {
        Set<String> open = requests.get(peer);
        return open != null && !open.isEmpty();
    }

    /** Notes a frame that was sent to or received from a peer. */
    void passed(RouterId peer, Frame frame) {
        switch (frame.getBodyCase()) {
            case ENQUEUE -> open(peer, frame.getEnqueue().getRequest());
            case WITHDRAW -> close(peer, frame.getWithdraw().getRequest());
            case REFUSE -> close(peer, frame.getRefuse().getRequest());
            case REDIRECT -> close(peer, frame.getRedirect().getRequest());
            case FINISHED -> close(peer, frame.getFinished().getRequest());
            default -> {}
        }
    }

    /** Forgets a peer whose connection was lost. */
    void lost(RouterId peer) {
        requests.remove(peer);
    }

    private void open(RouterId peer, String request) {
        requests.computeIfAbsent(peer, router -> ConcurrentHashMap.newKeySet()).add(request);
    }

    private void close(RouterId peer, String request) {
        Set<String> open = requests.get(peer);
        if (open != null) {
            open.remove(request);
        }
    }
}
