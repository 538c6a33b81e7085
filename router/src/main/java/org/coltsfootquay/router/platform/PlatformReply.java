package org.coltsfootquay.router.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.coltsfootquay.decision.store.StoreException;

/**
 * Outcome of one attempt of a call.
 *
 * @param kind kind of outcome
 * @param status HTTP status; 0 if there is no response
 * @param body response body; empty if there is no response
 * @param message cause of the failure; empty if there is a response
 */
@SuppressWarnings("ArrayRecordComponent") // replies are never compared
record PlatformReply(Kind kind, int status, byte[] body, String message) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Kinds of outcome. */
    enum Kind {
        /** The complete response was received. */
        ANSWERED,
        /** No byte of the request was written. */
        NOT_SENT,
        /** The request may have been executed, but no complete response was received. */
        LOST
    }

    static PlatformReply answered(int status, byte[] body) {
        return new PlatformReply(Kind.ANSWERED, status, body, "");
    }

    static PlatformReply notSent(String message) {
        return new PlatformReply(Kind.NOT_SENT, 0, new byte[0], message);
    }

    static PlatformReply lost(String message) {
        return new PlatformReply(Kind.LOST, 0, new byte[0], message);
    }

    boolean hasStatus(int expected) {
        return kind == Kind.ANSWERED && status == expected;
    }

    /**
     * Returns this reply if it has the expected status.
     *
     * @throws StoreException if the reply has another status or there is no response
     */
    PlatformReply requireStatus(int expected) throws StoreException {
        if (!hasStatus(expected)) {
            throw new StoreException(
                    StoreException.Kind.MALFORMED,
                    "the platform responded with " + describe() + " instead of " + expected
                            + "; check the configured platform address");
        }
        return this;
    }

    /** Returns whether the platform rejected the call because of its rate limit, without any effect. */
    boolean isThrottled() {
        return hasStatus(429) && hasCode("throttled");
    }

    /** Returns whether the call certainly had no effect. */
    boolean hadNoEffect() {
        return kind == Kind.NOT_SENT || isThrottled() || (hasStatus(503) && hasCode("unavailable"));
    }

    /** Describes the outcome for a log line or an error message. */
    String describe() {
        return kind == Kind.ANSWERED ? "status " + status : message;
    }

    /** Returns whether the body has the error code; a proxy that responds with the same status does not set it. */
    private boolean hasCode(String code) {
        try {
            JsonNode node = JSON.readTree(body);
            return node != null && node.path("code").asText().equals(code);
        } catch (IOException e) {
            return false;
        }
    }
}
