package org.coltsfootquay.router.status;

import java.util.List;
import java.util.Map;

/** Responds to status requests for one path. */
public interface StatusPage {

    /**
     * Responds to a request.
     *
     * @param query query parameters
     * @return response
     */
    StatusResponse respond(Map<String, List<String>> query);
}
