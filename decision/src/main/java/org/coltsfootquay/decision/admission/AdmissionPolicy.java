package org.coltsfootquay.decision.admission;

import java.time.Duration;
import java.util.Map;
import java.util.function.Supplier;
import org.coltsfootquay.decision.common.WorkspaceId;

/** Rule that refuses requests for which there is no room. */
public interface AdmissionPolicy {

    /**
     * Decides on a request.
     *
     * @param workspace workspace
     * @param tokens size of the request
     * @param demands demands of all workspaces on the service, this request included in what was asked; read only if
     *     they decide
     * @param queue time for which the request waits for others; its own size does not count, so that large requests
     *     are not refused more than small ones
     * @param target time to the first event that the route promises
     * @return true if the request should be sent
     */
    boolean admits(
            WorkspaceId workspace,
            double tokens,
            Supplier<Map<WorkspaceId, Demand>> demands,
            Duration queue,
            Duration target);
}
