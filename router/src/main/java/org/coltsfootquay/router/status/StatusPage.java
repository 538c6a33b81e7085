package org.coltsfootquay.router.status;

import java.util.List;
import java.util.Map;

/** Answers requests to one path. */
public interface StatusPage {

    /**
     * Answers a request.
     *
     * @param query parameters of the query
     * @return answer
     */
    StatusResponse respond(Map<String, List<String>> query);
}
