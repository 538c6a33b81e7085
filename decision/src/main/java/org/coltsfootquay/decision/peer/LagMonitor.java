package org.coltsfootquay.decision.peer;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.RouterId;

/**
 * Detects that a peer has a change of a table that this router's own watch has not delivered; not thread-safe.
 *
 * <p>A watch on a dead connection delivers no changes until it times out, and one that continues after the store has
 * dropped its history may leave some out. This monitor bounds the time for which a router may lag behind its peers.
 */
public final class LagMonitor {

    /** Time for the own watch to deliver a change that a peer has, in addition to its pause between calls. */
    public static final Duration GRACE_PERIOD = Duration.ofMillis(250);

    /** Delay after which a peer is asked again for a copy that has not removed the difference, doubled each time. */
    private static final Duration INITIAL_REPEAT_DELAY = Duration.ofSeconds(1);

    private static final Duration MAX_REPEAT_DELAY = Duration.ofSeconds(30);

    /** Maximum number of changes for which the time is kept; a later one counts from when there is room for it. */
    private static final int MAX_AWAITED_CHANGES = 64;

    private final Map<RouterId, Difference> differences = new HashMap<>();
    private final Deque<AwaitedChange> awaitedChanges = new ArrayDeque<>();

    /** Creates a monitor for a table without known changes. */
    public LagMonitor() {
        // The state is set by the first beacon.
    }

    /**
     * Records the state of a peer's copy.
     *
     * @param peer peer
     * @param theirs state of the peer's copy
     * @param own state of this router's copy
     * @param deliveryTime time for the own watch to deliver a change that a peer has
     * @param nowNanos current time
     * @return true if the peer should be asked for its copy now
     */
    public boolean recordPeer(RouterId peer, TableState theirs, TableState own, Duration deliveryTime, long nowNanos) {
        boolean equal = theirs.hasSameRows(own);
        int order = theirs.compareChanges(own);
        removeArrived(equal && order > 0 ? theirs : own);
        if (equal) {
            differences.remove(peer);
            return false;
        }
        if (order == 0) {
            // One of them lacks an earlier change, which no watch will deliver any more.
            Difference difference = differences.get(peer);
            return difference == null || difference.mayAskAgain(theirs, own, nowNanos);
        }
        if (order < 0) {
            return false;
        }
        awaitChange(theirs, nowNanos);
        return nowNanos - awaitedChanges.element().sinceNanos >= deliveryTime.toNanos();
    }

    private void removeArrived(TableState state) {
        while (!awaitedChanges.isEmpty() && awaitedChanges.element().state.compareChanges(state) <= 0) {
            awaitedChanges.remove();
        }
    }

    private void awaitChange(TableState state, long nowNanos) {
        boolean later =
                awaitedChanges.isEmpty() || awaitedChanges.getLast().state.compareChanges(state) < 0;
        if (later && awaitedChanges.size() < MAX_AWAITED_CHANGES) {
            awaitedChanges.add(new AwaitedChange(state, nowNanos));
        }
    }

    /**
     * Records that a peer is asked for its copy.
     *
     * @param peer peer
     * @param theirs state of the peer's copy
     * @param own state of this router's copy
     * @param nowNanos current time
     */
    public void recordAsked(RouterId peer, TableState theirs, TableState own, long nowNanos) {
        differences.compute(peer, (id, previous) -> Difference.next(previous, theirs, own, nowNanos));
    }

    /**
     * Forgets a peer that is no longer heard.
     *
     * @param peer peer
     */
    public void removePeer(RouterId peer) {
        differences.remove(peer);
    }

    /** Change that a peer has and this router has not. */
    private record AwaitedChange(TableState state, long sinceNanos) {}

    /** Difference for which a peer was asked. */
    private record Difference(long theirDigest, long ownDigest, Duration delay, long repeatNanos) {

        private static Difference next(Difference previous, TableState theirs, TableState own, long nowNanos) {
            Duration delay = INITIAL_REPEAT_DELAY;
            if (previous != null && previous.isOf(theirs, own)) {
                Duration doubled = previous.delay.multipliedBy(2);
                delay = doubled.compareTo(MAX_REPEAT_DELAY) < 0 ? doubled : MAX_REPEAT_DELAY;
            }
            return new Difference(theirs.digest(), own.digest(), delay, nowNanos + delay.toNanos());
        }

        private boolean isOf(TableState theirs, TableState own) {
            return theirDigest == theirs.digest() && ownDigest == own.digest();
        }

        private boolean mayAskAgain(TableState theirs, TableState own, long nowNanos) {
            return !isOf(theirs, own) || nowNanos - repeatNanos >= 0;
        }
    }
}
