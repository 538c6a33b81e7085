package org.coltsfootquay.router.backend;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Fields that the router reads from one event of a streamed model response, or from a complete response.
 *
 * @param done whether this is the {@code [DONE]} marker at the end of the stream
 * @param content text of the token; empty if the event contains none
 * @param position position of the token, if the event contains one
 * @param finishReason reason why the response ends, if the event contains one
 * @param promptTokens number of prompt tokens, if the event contains usage data
 * @param completionTokens number of completion tokens, if the event contains usage data
 * @param errorCode code of an error reported by the server, if any; {@code unknown} for an error without a code
 */
public record StreamEvent(
        boolean done,
        String content,
        OptionalLong position,
        Optional<String> finishReason,
        OptionalLong promptTokens,
        OptionalLong completionTokens,
        Optional<String> errorCode) {

    /**
     * Returns whether the event contains a token.
     *
     * @return true if the content is not empty
     */
    public boolean hasToken() {
        return !content.isEmpty();
    }
}
