package org.coltsfootquay.decision.idempotency;

import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;

/**
 * Attempt that claims an idempotency record.
 *
 * @param key key of the row
 * @param attempt identifier of the attempt, unique across the fleet and across restarts
 * @param digest digest of the request
 * @param router router that executes the attempt
 * @param incarnation incarnation of the router
 */
public record RecordOwner(String key, String attempt, String digest, RouterId router, long incarnation) {

    private static final String KEY_PREFIX = "once/";

    /** Validates the text components. */
    public RecordOwner {
        ArgumentUtils.requireText(key, "record key");
        ArgumentUtils.requireText(attempt, "attempt");
        ArgumentUtils.requireText(digest, "digest");
    }

    /**
     * Returns the key of the row for an idempotency key.
     *
     * @param workspace workspace
     * @param idempotencyKey idempotency key that the caller sent in its request header
     * @return {@code once/<workspace>/<key>}
     */
    public static String rowKey(Object workspace, String idempotencyKey) {
        return KEY_PREFIX + workspace + "/" + idempotencyKey;
    }
}
