package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.Optional;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Metadata that the router adds to a request for a backend server.
 *
 * @param server server that must execute the request
 * @param remaining time after which the server must stop work on the request
 * @param workspace workspace of the caller, empty on routes without authentication
 * @param resumeAfter id of the last event that the caller received, if a stream is resumed
 */
public record ForwardMetadata(
        BackendEntry server, Duration remaining, Optional<WorkspaceId> workspace, Optional<String> resumeAfter) {}
