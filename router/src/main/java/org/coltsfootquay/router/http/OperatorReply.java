package org.coltsfootquay.router.http;

/** Receiver of the result of an operator command. It is called once, from any thread. */
public interface OperatorReply {

    /**
     * Sends a JSON response.
     *
     * @param status HTTP status
     * @param json response body
     */
    void sendJson(int status, String json);

    /**
     * Sends an error response.
     *
     * @param error error
     */
    void sendError(ErrorBody error);
}
