package org.coltsfootquay.router.status;

/**
 * Answer of a status page.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body body
 */
public record StatusReply(int status, String contentType, String body) {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /**
     * Returns a successful answer.
     *
     * @param contentType media type
     * @param body body
     * @return answer
     */
    public static StatusReply ok(String contentType, String body) {
        return new StatusReply(OK, contentType, body);
    }

    /**
     * Returns an answer that says that the router does not serve for now.
     *
     * @return answer
     */
    public static StatusReply unavailable() {
        return new StatusReply(UNAVAILABLE, "text/plain", "");
    }
}
