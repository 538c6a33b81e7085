package org.coltsfootquay.decision.quarantine;

import java.util.Set;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Announcement of a router that one of its requests is to be the only one at a server with some suspected parts.
 *
 * @param id random number of the request
 * @param parts suspected parts of its prompt
 * @param state progress of the request
 */
public record ProbeClaim(long id, Set<PartKey> parts, State state) {

    /** Progress of the request. */
    public enum State {
        /** Other routers may still object. */
        ANNOUNCED,

        /** The request is at a server. */
        SENT,

        /** The request has ended, or is not sent. */
        ENDED
    }

    /** Validates the values and copies the parts. */
    public ProbeClaim {
        parts = Set.copyOf(parts);
        ArgumentUtils.requireValue(state, "state");
    }
}
