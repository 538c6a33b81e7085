package org.coltsfootquay.decision.idempotency;

import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;

/**
 * Attempt that wants to own a record.
 *
 * @param key key of the row
 * @param attempt identifier of the attempt, unique over the fleet and over restarts
 * @param digest digest of the request
 * @param router router that works on the attempt
 * @param incarnation incarnation of the router
 */
public record RecordOwner(String key, String attempt, String digest, RouterId router, long incarnation) {

    private static final String PREFIX = "once/";

    /** Checks the parts. */
    public RecordOwner {
        ArgumentUtils.requireText(key, "record key");
        ArgumentUtils.requireText(attempt, "attempt");
        ArgumentUtils.requireText(digest, "digest");
    }

    /**
     * Returns the key of the row for an idempotency key.
     *
     * @param workspace workspace
     * @param idempotencyKey value of the caller's header
     * @return {@code once/<workspace>/<key>}
     */
    public static String rowKey(Object workspace, String idempotencyKey) {
        return PREFIX + workspace + "/" + idempotencyKey;
    }
}
