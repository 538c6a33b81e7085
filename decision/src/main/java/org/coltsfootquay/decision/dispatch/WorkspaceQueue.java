package org.coltsfootquay.decision.dispatch;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeSet;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.fairness.DecayingRate;

/** Waiting requests of one workspace at an owner, with its usage counters and requests in flight. */
final class WorkspaceQueue {

    final WorkspaceId workspace;
    final DecayingRate grantRate = new DecayingRate(10);

    /** Service units charged since the last drain of the usage counters. */
    long undrainedUnits;

    /** Whether a request had to wait since the last drain. */
    boolean waitedSinceDrain;

    /** Attempts of this workspace that hold a slot of this owner. */
    final Set<GrantedAttempt> inFlight = new LinkedHashSet<>();

    /** Reserved rate from the configuration, in service units per second. */
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
     * Returns the first request in scheduling order.
     *
     * @return request, or null if none is waiting
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
