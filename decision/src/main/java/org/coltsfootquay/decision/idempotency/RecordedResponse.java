package org.coltsfootquay.decision.idempotency;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import org.coltsfootquay.decision.store.RowValue;

/**
 * Response of a non-idempotent request as stored in its idempotency record.
 *
 * @param status HTTP status
 * @param headers HTTP headers
 * @param body body; not copied, must not be modified afterwards; the record omits it above {@link #MAX_BODY_BYTES}
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedResponse(int status, Map<String, String> headers, byte[] body) {

    /** Maximum size of a body that a record stores. */
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
     * Adds the response to the fields of a record; a body that exceeds the limit is marked as omitted.
     *
     * @param value fields of the record
     * @return copy of the fields with the response
     */
    RowValue addTo(RowValue value) {
        StringBuilder lines = new StringBuilder();
        headers.forEach((name, text) ->
                lines.append(name).append(':').append(text.replace('\n', ' ')).append('\n'));
        RowValue withHeaders = value.with(STATUS, status).with(HEADERS, lines);
        return body.length > MAX_BODY_BYTES
                ? withHeaders.with(OMITTED, true)
                : withHeaders.with(BODY, Base64.getEncoder().encodeToString(body));
    }

    /**
     * Returns whether the body was omitted from a finished record.
     *
     * @param value fields of the record
     * @return true if the body exceeded the limit
     */
    static boolean isOmitted(RowValue value) {
        return value.optionalText(OMITTED).isPresent();
    }

    /**
     * Reads the response from the fields of a finished record.
     *
     * @param value fields of the record
     * @return response
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
