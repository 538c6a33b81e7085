package org.coltsfootquay.decision.selection;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Request for which a server is selected.
 *
 * @param prompt prompt of the request; {@link Prompt#NONE} if it has none
 * @param target target of its route for the time to the first event; zero if the route has none
 * @param nowNanos current time
 */
public record SelectionRequest(Prompt prompt, Duration target, long nowNanos) {

    /** Validates the values. */
    public SelectionRequest {
        ArgumentUtils.requireValue(prompt, "prompt");
        ArgumentUtils.requireValue(target, "target");
    }
}
