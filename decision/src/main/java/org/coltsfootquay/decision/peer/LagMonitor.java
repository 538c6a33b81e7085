package org.coltsfootquay.decision.peer;

import java.time.Duration;

/**
 * Detects that a peer has a table change that this router's own watch has not delivered; not thread-safe.
 *
 * <p>A watch on a dead connection delivers no changes until it times out. This monitor bounds the time for which a
 * router may lag behind its peers.
 */
public final class LagMonitor {

    /** Time for the own watch to deliver a change that a peer has, in addition to its pause between calls. */
    public static final Duration GRACE_PERIOD = Duration.ofMillis(250);

    private long newestRevision;
    private long behindSinceNanos;
    private boolean behind;

    /** Creates a monitor for a table without known changes. */
    public LagMonitor() {
        // The state is set by the first beacon.
    }

    /**
     * Records the table revision that a peer reports.
     *
     * @param peerRevision revision of the last change that the peer has
     * @param localRevision revision of the last change that this router has
     * @param pause time for which the own watch may pause after a change
     * @param nowNanos current time
     * @return true if the peer should be asked for its copy now
     */
    public boolean recordPeerRevision(long peerRevision, long localRevision, Duration pause, long nowNanos) {
        newestRevision = Math.max(newestRevision, peerRevision);
        if (newestRevision <= localRevision) {
            behind = false;
            return false;
        }
        if (!behind) {
            behind = true;
            behindSinceNanos = nowNanos;
        }
        return peerRevision > localRevision
                && nowNanos - behindSinceNanos >= GRACE_PERIOD.plus(pause).toNanos();
    }
}
