package org.coltsfootquay.decision.admission;

import java.time.Duration;
import java.util.Map;
import java.util.function.Supplier;
import org.coltsfootquay.decision.admission.AdmissionDecision.Reason;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Rejects the requests of workspaces above their max-min fair share before those of other workspaces.
 *
 * <p>Handles overload by a few workspaces that send many times their usual load. While the queue is short, every
 * request is admitted. As soon as requests wait at the selected server and on average at all servers, workspaces above
 * the fair share are rejected, so that the wait stays within the target for the others. From about half of it on,
 * workspaces at their share are rejected too, since a late response delays the following ones; a workspace below its
 * share is rejected the later, the less it got. Otherwise it would be refused as often as the others while reports of
 * other routers are old enough for those to fill the queues.
 */
public final class FairSharePolicy implements AdmissionPolicy {

    /**
     * Wait, as a fraction of the time that the target allows, above which workspaces at their fair share are rejected;
     * the rest is for prefill of the request itself and for requests that other routers send at the same moment.
     */
    private static final double MAX_WAIT_SHARE = 0.45;

    /**
     * Wait, as a fraction of the allowed time, above which a workspace that got nothing is rejected. Up to it, a
     * response may be late, but a rejected caller would return no earlier.
     */
    private static final double MAX_WAIT_SHARE_BELOW_FAIR_SHARE = 1.0;

    /**
     * Wait, as a fraction of the allowed time, above which workspaces over their fair share are rejected; both the wait
     * at the selected server and the mean wait have to exceed it.
     */
    private static final double CONTENTION_THRESHOLD = 0.03;

    /** Factor by which a workspace may exceed its fair share; allows for the age of the reports of other routers. */
    private static final double SHARE_TOLERANCE = 1.05;

    /** Creates the policy. */
    public FairSharePolicy() {
        // Stateless: the demands are passed in.
    }

    @Override
    public AdmissionDecision decide(
            WorkspaceId workspace,
            double tokens,
            Supplier<Map<WorkspaceId, Demand>> demands,
            Duration waitTime,
            Duration meanWaitTime,
            Duration allowedTime) {
        double waitFraction = fraction(waitTime, allowedTime);
        if (waitFraction <= CONTENTION_THRESHOLD) {
            return AdmissionDecision.withoutShares(Reason.NO_WAIT);
        }
        if (waitFraction > MAX_WAIT_SHARE_BELOW_FAIR_SHARE) {
            return AdmissionDecision.withoutShares(Reason.TOO_LATE);
        }
        if (waitFraction <= MAX_WAIT_SHARE && fraction(meanWaitTime, allowedTime) <= CONTENTION_THRESHOLD) {
            // The other servers have room, so the wait at this one does not come from workspaces over their share.
            return AdmissionDecision.withoutShares(Reason.OTHER_SERVERS_FREE);
        }
        Map<WorkspaceId, Demand> all = demands.get();
        double fairShare = DemandTracker.maxMinFairShare(all.values());
        double dispatched = all.getOrDefault(workspace, Demand.NONE).dispatchedTokens();
        return new AdmissionDecision(reason(waitFraction, dispatched, fairShare), dispatched, fairShare);
    }

    private static Reason reason(double waitFraction, double dispatched, double fairShare) {
        if (waitFraction <= MAX_WAIT_SHARE) {
            return dispatched <= fairShare * SHARE_TOLERANCE ? Reason.WITHIN_SHARE : Reason.ABOVE_SHARE;
        }
        // The share is unbounded while everything that was requested is dispatched; no workspace is below it then.
        double missing = fairShare == Double.MAX_VALUE ? 0 : 1 - dispatched / Math.max(1, fairShare);
        double limit = MAX_WAIT_SHARE + (MAX_WAIT_SHARE_BELOW_FAIR_SHARE - MAX_WAIT_SHARE) * missing;
        return waitFraction <= limit ? Reason.WITHIN_SHARE : Reason.WAIT_TOO_LONG;
    }

    private static double fraction(Duration waitTime, Duration allowedTime) {
        return (double) waitTime.toNanos() / Math.max(1, allowedTime.toNanos());
    }
}
