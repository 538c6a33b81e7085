package org.coltsfootquay.cli.measure;

import org.coltsfootquay.decision.common.WorkspaceId;

/** Workspace with its simulated callers. */
final class SimWorkspace {

    final WorkspaceId id;

    /** Entry router that four in five of its requests come through. */
    final int home;

    /** Requests that its callers keep open; a finished one is followed by the next at once. */
    int outstanding;

    /** Part of its requests that are questions. */
    double questions;

    /** Requests a second of callers that do not wait for answers. */
    double arrivalsPerSecond;

    long reservedPerSecond;
    int open;

    /** Whether its latencies are left out of those of a phase, because it causes the disturbance. */
    boolean excludedFromPhase;

    SimWorkspace(WorkspaceId id, int home) {
        this.id = id;
        this.home = home;
    }
}
