package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.Optional;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * What the router tells a backend server with a request.
 *
 * @param server server that must run the request
 * @param remaining time after which the server stops work
 * @param workspace workspace of the caller, empty on open routes
 * @param resumeAfter id of the last event that the caller has, if a stream continues
 */
public record ForwardMetadata(
        BackendEntry server, Duration remaining, Optional<WorkspaceId> workspace, Optional<String> resumeAfter) {}
