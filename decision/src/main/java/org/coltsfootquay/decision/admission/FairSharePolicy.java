package org.coltsfootquay.decision.admission;

import java.time.Duration;
import java.util.Map;
import java.util.function.Supplier;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Refuses first the workspaces that take more than their max-min share.
 *
 * <p>Answers overload by a few workspaces that send many times their usual: while the queue is short, everyone
 * is served; from a fifth of the target on, workspaces above the fair level are refused, so that the wait stays within
 * the target for the others; from two thirds on everyone is refused, since a late answer makes the next ones late too.
 */
public final class FairSharePolicy implements AdmissionPolicy {

    /**
     * Part of the target from which workspaces above the fair level are refused; 0.35 and 0.5 let queues grow until
     * others were late.
     */
    private static final double CONTENDED = 0.2;

    /** Part of the target above which every request is refused; the rest is for reading the request itself. */
    private static final double FULL = 0.65;

    /** Part of the fair level that a workspace may exceed; covers the age of the reports of other routers. */
    private static final double TOLERANCE = 1.05;

    /** Creates the rule. */
    public FairSharePolicy() {
        // The rule has no state of its own.
    }

    @Override
    public boolean admits(
            WorkspaceId workspace,
            double tokens,
            Supplier<Map<WorkspaceId, Demand>> demands,
            Duration queue,
            Duration target) {
        double wait = (double) queue.toNanos() / target.toNanos();
        if (wait <= CONTENDED) {
            return true;
        }
        if (wait > FULL) {
            return false;
        }
        Map<WorkspaceId, Demand> all = demands.get();
        double level = DemandTracker.maxMinFairShare(all.values());
        double sent = all.getOrDefault(workspace, Demand.NONE).dispatchedTokens();
        return sent <= level * TOLERANCE;
    }
}
