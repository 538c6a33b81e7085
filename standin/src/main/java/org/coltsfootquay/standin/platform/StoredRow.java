package org.coltsfootquay.standin.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.coltsfootquay.standin.http.JsonUtils;

/**
 * Row of the table service as it stands at one moment.
 *
 * @param key key
 * @param value fields by name; empty when the row was deleted
 * @param revision revision of the last change of content
 * @param deleted whether the row was deleted
 * @param expiryNanos time of expiry by the clock of the store, or {@link Long#MAX_VALUE} for never
 */
public record StoredRow(String key, Map<String, String> value, long revision, boolean deleted, long expiryNanos) {

    /** Copies the fields. */
    public StoredRow {
        value = Map.copyOf(value);
    }

    /**
     * Returns whether the time to live has ended.
     *
     * @param nowNanos time by the clock of the store
     * @return whether the row has expired
     */
    public boolean expired(long nowNanos) {
        return expiryNanos != Long.MAX_VALUE && nowNanos >= expiryNanos;
    }

    ObjectNode toJson(long nowNanos) {
        ObjectNode node = JsonUtils.object().put("key", key);
        ObjectNode fields = node.putObject("value");
        new TreeMap<>(value).forEach(fields::put);
        return node.put("revision", revision).put("deleted", deleted).put("expired", expired(nowNanos));
    }
}
