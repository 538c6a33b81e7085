package org.coltsfootquay.decision.admission;

import java.time.Duration;
import java.util.Map;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Refuses first the workspaces that take more than their max-min share.
 *
 * <p>Answers overload by a few workspaces that send many times their usual: while the expected wait is short, everyone
 * is served; from half of the target on, workspaces above the fair level are refused, so that the wait stays within the
 * target for the others; beyond the target everyone is refused, since a late answer would make the next ones late too.
 */
public final class FairSharePolicy implements AdmissionPolicy {

    /** Part of the target from which workspaces above the fair level are refused. */
    private static final double CONTENDED = 0.5;

    /** Part of the target above which every request is refused. */
    private static final double FULL = 1.25;

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
            Map<WorkspaceId, Demand> demands,
            Duration expected,
            Duration target) {
        double wait = (double) expected.toNanos() / target.toNanos();
        if (wait <= CONTENDED) {
            return true;
        }
        if (wait > FULL) {
            return false;
        }
        double level = DemandBoard.fairLevel(demands.values());
        double sent = demands.getOrDefault(workspace, Demand.NONE).sent();
        return sent <= level * TOLERANCE;
    }
}
