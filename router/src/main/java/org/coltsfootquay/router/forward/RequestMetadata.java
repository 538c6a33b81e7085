package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.Optional;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.selection.Prompt;

/**
 * Metadata from the headers of a caller's request.
 *
 * @param requestId identifier of the request, empty if the caller sent none
 * @param host host without port, in lower case
 * @param key API key of the workspace
 * @param deadline time for which the caller waits for the response
 * @param model model that the request names, empty if none
 * @param prompt prompt, {@link Prompt#NONE} if the headers do not describe one
 */
public record RequestMetadata(
        String requestId, String host, Optional<String> key, Optional<Duration> deadline, String model, Prompt prompt) {

    /** Returns a stable hash of the request for the selection among the services of a route. */
    long hash() {
        return HashUtils.hash(requestId);
    }
}
