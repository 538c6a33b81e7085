package org.coltsfootquay.router.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Incremental parser that extracts the data of server-sent events from a stream; not thread-safe. */
public final class SseParser {

    /** Maximum event size in bytes; a larger event is treated as a server fault. */
    public static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);

    private final Consumer<String> events;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
    private final ByteArrayOutputStream data = new ByteArrayOutputStream(256);
    private boolean hasData;
    private boolean afterCarriageReturn;

    /**
     * Creates a parser.
     *
     * @param events receives the data of each complete event
     */
    public SseParser(Consumer<String> events) {
        this.events = events;
    }

    /**
     * Parses the next bytes of the stream.
     *
     * @param bytes next bytes, of any length
     * @throws IllegalStateException if an event is larger than {@link #MAX_EVENT_BYTES}
     */
    public void feed(byte[] bytes) {
        for (byte next : bytes) {
            boolean endOfCrLf = afterCarriageReturn && next == '\n';
            afterCarriageReturn = next == '\r';
            if (endOfCrLf) {
                continue;
            }
            if (next == '\n' || next == '\r') {
                handleLine();
            } else {
                line.write(next);
                if (line.size() + data.size() > MAX_EVENT_BYTES) {
                    throw new IllegalStateException("server-sent event is larger than " + MAX_EVENT_BYTES + " bytes");
                }
            }
        }
    }

    private void handleLine() {
        if (line.size() == 0) {
            if (hasData) {
                String event = data.toString(StandardCharsets.UTF_8);
                data.reset();
                hasData = false;
                events.accept(event);
            }
            return;
        }
        byte[] bytes = line.toByteArray();
        line.reset();
        if (startsWithData(bytes)) {
            int from = bytes.length > DATA_FIELD.length && bytes[DATA_FIELD.length] == ' '
                    ? DATA_FIELD.length + 1
                    : DATA_FIELD.length;
            if (hasData) {
                data.write('\n');
            }
            data.write(bytes, from, bytes.length - from);
            hasData = true;
        }
    }

    private static boolean startsWithData(byte[] bytes) {
        if (bytes.length < DATA_FIELD.length) {
            return false;
        }
        for (int i = 0; i < DATA_FIELD.length; i++) {
            if (bytes[i] != DATA_FIELD[i]) {
                return false;
            }
        }
        return true;
    }
}
