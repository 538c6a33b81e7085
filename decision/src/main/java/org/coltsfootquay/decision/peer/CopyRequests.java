package org.coltsfootquay.decision.peer;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.coltsfootquay.decision.common.RouterId;

/**
 * Requests for copies of one table that are in progress; not thread-safe.
 *
 * <p>A peer that is frozen or cut off in one direction sends beacons but no copy until a timeout. Another peer is
 * therefore asked before the first one has answered.
 */
public final class CopyRequests {

    /** Time after which the next peer is asked; a copy arrives within milliseconds. */
    private static final Duration INTERVAL = Duration.ofMillis(100);

    /** Maximum number of peers that are asked at the same time. */
    private static final int MAX_IN_PROGRESS = 3;

    private final Set<RouterId> inProgress = new HashSet<>();
    private long lastStartNanos;

    /** Creates an instance without requests. */
    public CopyRequests() {
        // Requests are added as they start.
    }

    /**
     * Starts a request, unless the peer is being asked, another one was asked a moment ago, or enough are being asked.
     *
     * @param peer peer
     * @param nowNanos current time
     * @return true if the peer is to be asked; {@link #end(RouterId)} follows in any case
     */
    public boolean tryStart(RouterId peer, long nowNanos) {
        boolean recent = !inProgress.isEmpty() && nowNanos - lastStartNanos < INTERVAL.toNanos();
        if (recent || inProgress.size() >= MAX_IN_PROGRESS || !inProgress.add(peer)) {
            return false;
        }
        lastStartNanos = nowNanos;
        return true;
    }

    /**
     * Ends a request, with or without a copy.
     *
     * @param peer peer
     */
    public void end(RouterId peer) {
        inProgress.remove(peer);
    }
}
