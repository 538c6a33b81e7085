package org.coltsfootquay.router.status;

/** Responds to status requests for one path. */
public interface StatusPage {

    /**
     * Responds to a request.
     *
     * @param request request
     * @return response
     */
    StatusResponse respond(StatusRequest request);
}
