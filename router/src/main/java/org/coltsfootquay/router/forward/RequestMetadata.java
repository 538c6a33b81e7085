package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.Optional;
import org.coltsfootquay.decision.selection.Prompt;

/**
 * What the headers of a caller's request say.
 *
 * @param requestId identifier of the request, empty if the caller sent none
 * @param host host without port, in lower case
 * @param key key of the workspace
 * @param deadline time for which the caller waits
 * @param prompt prompt, {@link Prompt#NONE} if it is not described
 */
public record RequestMetadata(
        String requestId, String host, Optional<String> key, Optional<Duration> deadline, Prompt prompt) {}
