package org.coltsfootquay.decision.dispatch;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeSet;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.fairness.DecayingRate;

/** Waiting requests of one workspace at an owner, with the figures that order policies keep about the workspace. */
final class WorkspaceQueue {

    final WorkspaceId workspace;
    final DecayingRate grantRate = new DecayingRate(10);

    /** Service charged since the last drain of the usage counters. */
    long undrainedUnits;

    /** Whether a request had to wait since the last drain. */
    boolean waitedSinceDrain;

    /** Requests in flight at this owner. */
    final Set<GrantedAttempt> inFlight = new LinkedHashSet<>();

    /** Reserved rate from the configuration, in units a second. */
    long reservedPerSecond;

    private final TreeSet<WaitingRequest> waiting;

    WorkspaceQueue(WorkspaceId workspace, Comparator<WaitingRequest> order) {
        this.workspace = workspace;
        this.waiting = new TreeSet<>(order);
    }

    void add(WaitingRequest request) {
        waiting.add(request);
    }

    boolean remove(WaitingRequest request) {
        return waiting.remove(request);
    }

    /**
     * Returns the request that goes first.
     *
     * @return request, or null when none waits
     */
    WaitingRequest head() {
        return waiting.isEmpty() ? null : waiting.first();
    }

    int size() {
        return waiting.size();
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }
}
