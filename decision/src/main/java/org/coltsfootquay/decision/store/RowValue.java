package org.coltsfootquay.decision.store;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Immutable content of a row: string fields by name.
 *
 * @param fields fields by name, never null
 */
public record RowValue(Map<String, String> fields) {

    /**
     * Copies the fields.
     *
     * @throws IllegalArgumentException if the map is null
     */
    public RowValue {
        fields = Collections.unmodifiableMap(new TreeMap<>(ArgumentUtils.requireValue(fields, "fields")));
    }

    /**
     * Returns a required string field.
     *
     * @param name name of the field
     * @return its value
     * @throws IllegalStateException if the field is missing
     */
    public String text(String name) {
        String value = fields.get(name);
        if (value == null) {
            throw new IllegalStateException("row has no field " + name + "; it was written by an incompatible version");
        }
        return value;
    }

    /**
     * Returns an optional string field.
     *
     * @param name name of the field
     * @return its value, or empty
     */
    public Optional<String> optionalText(String name) {
        return Optional.ofNullable(fields.get(name));
    }

    /**
     * Returns a required integer field.
     *
     * @param name name of the field
     * @return its value
     * @throws IllegalStateException if the field is missing or is not an integer
     */
    public long number(String name) {
        String value = text(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new IllegalStateException("row field " + name + " must be an integer but is " + value, e);
        }
    }

    /**
     * Returns a copy with one field added or replaced.
     *
     * @param name name of the field
     * @param value value, converted by {@link String#valueOf(Object)}
     * @return copy with the field
     */
    public RowValue with(String name, Object value) {
        Map<String, String> copy = new TreeMap<>(fields);
        copy.put(name, String.valueOf(value));
        return new RowValue(copy);
    }

    /**
     * Returns the content without fields.
     *
     * @return empty content
     */
    public static RowValue empty() {
        return new RowValue(Map.of());
    }
}
