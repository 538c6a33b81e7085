package org.coltsfootquay.decision.idempotency;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import org.coltsfootquay.decision.store.RowValue;

/**
 * Answer of a non-idempotent request as its record holds it.
 *
 * @param status HTTP status
 * @param headers headers
 * @param body body, at most {@link #MAX_BODY_BYTES}; not changed afterwards
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedResponse(int status, Map<String, String> headers, byte[] body) {

    /** Largest body that a record holds. */
    public static final int MAX_BODY_BYTES = 16 * 1024;

    private static final String STATUS = "status";
    private static final String HEADERS = "headers";
    private static final String BODY = "body";
    private static final String OMITTED = "bodyOmitted";

    /** Copies the headers. */
    public RecordedResponse {
        headers = Map.copyOf(headers);
    }

    /**
     * Adds the answer to the fields of a record; a body that is too large is left out and marked as omitted.
     *
     * @param value fields
     * @return copy with the answer
     */
    RowValue addTo(RowValue value) {
        StringBuilder lines = new StringBuilder();
        headers.forEach((name, text) ->
                lines.append(name).append(':').append(text.replace('\n', ' ')).append('\n'));
        RowValue withHead = value.with(STATUS, status).with(HEADERS, lines);
        return body.length > MAX_BODY_BYTES
                ? withHead.with(OMITTED, true)
                : withHead.with(BODY, Base64.getEncoder().encodeToString(body));
    }

    /**
     * Tells whether a finished record lacks the body of its answer.
     *
     * @param value fields of the record
     * @return true if the body was too large
     */
    static boolean isOmitted(RowValue value) {
        return value.optionalText(OMITTED).isPresent();
    }

    /**
     * Reads the answer from the fields of a finished record.
     *
     * @param value fields
     * @return the answer
     * @throws IllegalStateException if a field is missing
     */
    static RecordedResponse from(RowValue value) {
        Map<String, String> headers = new LinkedHashMap<>();
        value.text(HEADERS).lines().forEach(line -> {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1));
        });
        byte[] body = Base64.getDecoder().decode(value.text(BODY).getBytes(StandardCharsets.US_ASCII));
        return new RecordedResponse((int) value.number(STATUS), headers, body);
    }
}
