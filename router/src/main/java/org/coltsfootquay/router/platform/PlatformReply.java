package org.coltsfootquay.router.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.coltsfootquay.decision.store.StoreException;

/**
 * What became of one attempt of a call.
 *
 * @param kind kind of outcome
 * @param status HTTP status; 0 unless answered
 * @param body body of the answer
 * @param message what failed; empty if answered
 */
@SuppressWarnings("ArrayRecordComponent") // replies are never compared
record PlatformReply(Kind kind, int status, byte[] body, String message) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Kinds of outcome. */
    enum Kind {
        /** The whole answer arrived. */
        ANSWERED,
        /** No byte of the request was written. */
        NOT_SENT,
        /** The request may have been carried out; there is no answer. */
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
     * Returns this reply if it has a status.
     *
     * @throws StoreException otherwise
     */
    PlatformReply requireStatus(int expected) throws StoreException {
        if (!hasStatus(expected)) {
            throw new StoreException(
                    StoreException.Kind.MALFORMED,
                    "the platform answered " + describe() + " instead of " + expected
                            + "; check that the address is that of the platform");
        }
        return this;
    }

    /** Tells whether the platform stated that it did nothing because of its rate limit. */
    boolean isThrottled() {
        return hasStatus(429) && hasCode("throttled");
    }

    /** Tells whether it is certain that the call had no effect. */
    boolean hadNoEffect() {
        return kind == Kind.NOT_SENT || isThrottled() || (hasStatus(503) && hasCode("unavailable"));
    }

    /** Describes the outcome for a log line or a message. */
    String describe() {
        return kind == Kind.ANSWERED ? "status " + status : message;
    }

    /** Tells whether the answer names an error code; an intermediary that answers the same status does not. */
    private boolean hasCode(String code) {
        try {
            JsonNode node = JSON.readTree(body);
            return node != null && node.path("code").asText().equals(code);
        } catch (IOException e) {
            return false;
        }
    }
}
