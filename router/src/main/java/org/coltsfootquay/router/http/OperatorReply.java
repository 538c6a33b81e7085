package org.coltsfootquay.router.http;

/** Receiver of the result of an operator's command; may be called from any thread, once. */
public interface OperatorReply {

    /**
     * Answers with JSON.
     *
     * @param status HTTP status
     * @param json body
     */
    void sendJson(int status, String json);

    /**
     * Answers with an error.
     *
     * @param error error
     */
    void sendError(ErrorBody error);
}
