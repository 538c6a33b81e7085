package org.coltsfootquay.decision.waiting;

import java.time.Duration;
import java.util.Map;
import java.util.function.Supplier;
import org.coltsfootquay.decision.admission.AdmissionDecision;
import org.coltsfootquay.decision.admission.Demand;
import org.coltsfootquay.decision.admission.DemandTracker;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.selection.SelectedServer;

/**
 * Question whether a request may be sent to the server that is selected for it now.
 *
 * @param workspace workspace
 * @param demands demands of all workspaces; evaluated only if the decision depends on them
 * @param server selected server
 * @param decision decision by the load of the server, without the time that the request has waited
 * @param pastDeadline true if the response is expected after the deadline
 * @param allowedTime time to the first event that the target allows, besides the constant latency of the server
 * @param waited time since the request arrived
 * @param remainingWait time for which the request may still wait
 */
public record PlaceQuery(
        WorkspaceId workspace,
        Supplier<Map<WorkspaceId, Demand>> demands,
        SelectedServer server,
        AdmissionDecision decision,
        boolean pastDeadline,
        Duration allowedTime,
        Duration waited,
        Duration remainingWait) {

    /** Part of the time that the target allows up to which a server is filled. */
    private static final double FILLED_WAIT_SHARE = 0.45;

    /** Returns whether the response would be too late for the target if the request were sent now. */
    boolean late() {
        return waited.plus(server.queueWaitTime()).compareTo(allowedTime) > 0;
    }

    /** Returns whether the server cannot have room before the request may not wait any longer. */
    boolean hopeless() {
        return pastDeadline || server.queueWaitTime().minus(allowedTime).compareTo(remainingWait) > 0;
    }

    /** Returns the estimated number of requests like this one for which the server has room. */
    double places() {
        if (decision.reason() != AdmissionDecision.Reason.WITHIN_SHARE) {
            return 1;
        }
        double freeNanos = allowedTime.toNanos() * FILLED_WAIT_SHARE
                - server.queueWaitTime().toNanos();
        double processingNanos =
                server.expectedLatency().minus(server.queueTime()).toNanos();
        return freeNanos / Math.max(1, processingNanos);
    }

    /** Returns whether the workspace has more than its fair share. */
    boolean aboveShare() {
        Map<WorkspaceId, Demand> all = demands.get();
        return all.getOrDefault(workspace, Demand.NONE).dispatchedTokens()
                > DemandTracker.maxMinFairShare(all.values());
    }
}
