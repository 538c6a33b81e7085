package org.coltsfootquay.decision.quarantine;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Prompt part of a request that a server had not begun to answer when it crashed.
 *
 * @param part part
 * @param request key of the last part of the prompt, which tells different requests apart
 * @param sinceSend time from the dispatch of the request to the crash
 */
public record UnansweredPart(PartKey part, PartKey request, Duration sinceSend) {

    /** Validates the values. */
    public UnansweredPart {
        ArgumentUtils.requireValue(part, "part");
        ArgumentUtils.requireValue(request, "request");
        ArgumentUtils.requireValue(sinceSend, "sinceSend");
    }
}
