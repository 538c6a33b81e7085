package org.coltsfootquay.decision.admission;

import java.time.Duration;
import java.util.Map;
import java.util.function.Supplier;
import org.coltsfootquay.decision.common.WorkspaceId;

/** Policy that rejects requests for which there is no capacity. */
public interface AdmissionPolicy {

    /**
     * Decides whether a request is admitted.
     *
     * @param workspace workspace
     * @param tokens size of the request
     * @param demands demands of all workspaces for the service, including the requested tokens of this request;
     *     evaluated only if the decision depends on them
     * @param waitTime expected wait behind other requests; excludes the processing time of the request itself, so that
     *     large requests are not rejected more often than small ones
     * @param meanWaitTime mean of the expected wait over all servers that could get the request
     * @param allowedTime time to the first event that the target of the route allows, besides the constant latency of
     *     the server
     * @return decision with its reason
     */
    AdmissionDecision decide(
            WorkspaceId workspace,
            double tokens,
            Supplier<Map<WorkspaceId, Demand>> demands,
            Duration waitTime,
            Duration meanWaitTime,
            Duration allowedTime);
}
