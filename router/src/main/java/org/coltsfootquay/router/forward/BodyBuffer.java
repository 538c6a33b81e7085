package org.coltsfootquay.router.forward;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/** Body of a message that is received in parts; not thread-safe. */
final class BodyBuffer {

    private static final int INITIAL_BYTES = 1024;

    private byte[] bytes;
    private int size;

    /**
     * Creates an empty buffer.
     *
     * @param expectedBytes size of the body if it is known, otherwise 0
     */
    BodyBuffer(int expectedBytes) {
        bytes = new byte[expectedBytes];
    }

    /** Returns the number of bytes received so far. */
    int size() {
        return size;
    }

    /** Returns the size that the buffer has after more bytes are added; a buffer that is full grows by half. */
    int capacityWith(int added) {
        int needed = size + added;
        return needed <= bytes.length ? bytes.length : Math.max(Math.max(INITIAL_BYTES, needed), size + size / 2);
    }

    /** Adds bytes. */
    void add(ByteBuf part) {
        int added = part.readableBytes();
        int capacity = capacityWith(added);
        if (capacity > bytes.length) {
            bytes = Arrays.copyOf(bytes, capacity);
        }
        part.readBytes(bytes, size, added);
        size += added;
    }

    /** Returns the body; it is copied only if the buffer is larger, and nothing may be added afterwards. */
    byte[] toByteArray() {
        if (size < bytes.length) {
            bytes = Arrays.copyOf(bytes, size);
        }
        return bytes;
    }
}
