package org.coltsfootquay.decision.peer;

import java.time.Duration;

/**
 * Notices that a peer knows a change of a table that this router's own watch has not delivered; not thread-safe.
 *
 * <p>A dead connection hides changes for as long as a watch may hang, so the time for which a router may stay behind is
 * bounded here.
 */
public final class LagMonitor {

    /** Time that the own watch is given to deliver a change that a peer has, beside its pauses between calls. */
    public static final Duration GRACE_PERIOD = Duration.ofMillis(250);

    private long newest;
    private long behindSinceNanos;
    private boolean behind;

    /** Creates a monitor for a table of which no change is known. */
    public LagMonitor() {
        // The first beacon sets the state.
    }

    /**
     * Notes what a peer says.
     *
     * @param theirs revision of the last change that the peer knows
     * @param ours revision up to which this router's copy is complete
     * @param pause time for which the own watch may pause after a change
     * @param nowNanos current time
     * @return true if the peer should be asked for its copy now
     */
    public boolean recordPeerRevision(long theirs, long ours, Duration pause, long nowNanos) {
        newest = Math.max(newest, theirs);
        if (newest <= ours) {
            behind = false;
            return false;
        }
        if (!behind) {
            behind = true;
            behindSinceNanos = nowNanos;
        }
        return theirs > ours
                && nowNanos - behindSinceNanos >= GRACE_PERIOD.plus(pause).toNanos();
    }
}
