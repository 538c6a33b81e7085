package org.coltsfootquay.decision.route;

import java.util.Optional;
import org.coltsfootquay.decision.common.WorkspaceId;

/** Outcome of the check of a request against the configuration in force. */
public sealed interface Access {

    /**
     * The request may be forwarded.
     *
     * @param route route of the request
     * @param workspace workspace that holds the key, empty on open routes
     */
    record Allowed(Route route, Optional<WorkspaceId> workspace) implements Access {}

    /**
     * The request is refused.
     *
     * @param reason why
     */
    record Denied(Reason reason) implements Access {}

    /** Why a request is refused. */
    enum Reason {
        /** No route of the configuration matches host and path. */
        UNKNOWN_ROUTE,
        /** The key is missing or belongs to no workspace. */
        UNKNOWN_KEY
    }
}
