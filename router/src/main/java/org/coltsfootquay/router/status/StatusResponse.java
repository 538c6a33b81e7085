package org.coltsfootquay.router.status;

/**
 * Answer of a status page.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body body
 */
public record StatusResponse(int status, String contentType, String body) {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /**
     * Returns a successful answer.
     *
     * @param contentType media type
     * @param body body
     * @return answer
     */
    public static StatusResponse ok(String contentType, String body) {
        return new StatusResponse(OK, contentType, body);
    }

    /**
     * Returns an answer that says that the router does not serve for now.
     *
     * @return answer
     */
    public static StatusResponse unavailable() {
        return new StatusResponse(UNAVAILABLE, "text/plain", "");
    }
}
