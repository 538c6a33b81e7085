package org.coltsfootquay.router.backend;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the router needs to know of one event of a model's answer, or of a whole answer.
 *
 * @param done whether this is the mark at the end of the stream
 * @param content text of the token; empty if the event has none
 * @param position position of the token, if the event says so
 * @param finishReason reason for the end of the answer, if it ends
 * @param promptTokens tokens of the prompt, if the event has usage figures
 * @param completionTokens tokens of the answer, if the event has usage figures
 * @param errorCode code of an error the server reports, if any
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
     * Tells whether the event carries a token.
     *
     * @return true if it has text
     */
    public boolean hasToken() {
        return !content.isEmpty();
    }
}
