package org.coltsfootquay.decision.timeline;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * A recorded decision.
 *
 * <p>The field names {@code request}, {@code attempt}, {@code workspace}, {@code service}, {@code server},
 * {@code router}, {@code zone}, {@code fencing}, {@code version} and {@code reason} have the same meaning in all events
 * and correlate events across processes. Values never contain keys or prompt text.
 *
 * @param kind kind of decision
 * @param fields identifiers and values in order; never null
 */
public record TimelineEvent(EventKind kind, Map<String, String> fields) {

    /**
     * Validates the components and copies the fields.
     *
     * @throws IllegalArgumentException if a component is null
     */
    public TimelineEvent {
        ArgumentUtils.requireValue(kind, "kind");
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(ArgumentUtils.requireValue(fields, "fields")));
    }

    /**
     * Creates an event.
     *
     * @param kind kind of decision
     * @param namesAndValues alternating names and values, which are converted by {@link String#valueOf(Object)}
     * @return the event
     * @throws IllegalArgumentException if the number of names and values is odd
     */
    public static TimelineEvent of(EventKind kind, Object... namesAndValues) {
        if (namesAndValues.length % 2 != 0) {
            throw new IllegalArgumentException("names and values must come in pairs; pass a value for each name");
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            fields.put(String.valueOf(namesAndValues[i]), String.valueOf(namesAndValues[i + 1]));
        }
        return new TimelineEvent(kind, fields);
    }
}
