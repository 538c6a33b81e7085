package org.coltsfootquay.router.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Splits a stream of server-sent events into the data of its events; not thread-safe. */
public final class SseParser {

    /** Largest event; a larger one is a fault of the server. */
    public static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);

    private final Consumer<String> events;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
    private final ByteArrayOutputStream data = new ByteArrayOutputStream(256);
    private boolean hasData;
    private boolean afterCarriageReturn;

    /**
     * Creates a splitter.
     *
     * @param events receives the data of each complete event
     */
    public SseParser(Consumer<String> events) {
        this.events = events;
    }

    /**
     * Takes the next bytes of the stream.
     *
     * @param bytes bytes
     * @throws IllegalStateException if an event is larger than {@link #MAX_EVENT_BYTES}
     */
    public void feed(byte[] bytes) {
        for (byte next : bytes) {
            boolean lineFeedOfPair = afterCarriageReturn && next == '\n';
            afterCarriageReturn = next == '\r';
            if (lineFeedOfPair) {
                continue;
            }
            if (next == '\n' || next == '\r') {
                endLine();
            } else {
                line.write(next);
                if (line.size() + data.size() > MAX_EVENT_BYTES) {
                    throw new IllegalStateException("server-sent event is larger than " + MAX_EVENT_BYTES + " bytes");
                }
            }
        }
    }

    private void endLine() {
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
            int from = bytes.length > DATA.length && bytes[DATA.length] == ' ' ? DATA.length + 1 : DATA.length;
            if (hasData) {
                data.write('\n');
            }
            data.write(bytes, from, bytes.length - from);
            hasData = true;
        }
    }

    private static boolean startsWithData(byte[] bytes) {
        if (bytes.length < DATA.length) {
            return false;
        }
        for (int i = 0; i < DATA.length; i++) {
            if (bytes[i] != DATA[i]) {
                return false;
            }
        }
        return true;
    }
}
