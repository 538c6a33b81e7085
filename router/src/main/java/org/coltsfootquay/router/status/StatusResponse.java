package org.coltsfootquay.router.status;

/**
 * Response of a status page.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body body
 */
public record StatusResponse(int status, String contentType, String body) {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /**
     * Returns a successful response.
     *
     * @param contentType media type
     * @param body body
     * @return response
     */
    public static StatusResponse ok(String contentType, String body) {
        return new StatusResponse(OK, contentType, body);
    }

    /**
     * Returns a response with status 503: the router is not available at present.
     *
     * @return response
     */
    public static StatusResponse unavailable() {
        return new StatusResponse(UNAVAILABLE, "text/plain", "");
    }
}
