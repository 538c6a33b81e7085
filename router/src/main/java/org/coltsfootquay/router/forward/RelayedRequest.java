package org.coltsfootquay.router.forward;

import java.util.Optional;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.route.Route;
import org.coltsfootquay.decision.route.ServicePolicy;

/**
 * Request of a caller and how it is routed.
 *
 * @param request request as received
 * @param metadata metadata from its headers
 * @param route route
 * @param workspace workspace, empty on open routes
 * @param service service that executes it
 * @param deadlineNanos time until which the caller waits
 */
record RelayedRequest(
        BufferedRequest request,
        RequestMetadata metadata,
        Route route,
        Optional<WorkspaceId> workspace,
        ServicePolicy service,
        long deadlineNanos) {}
