package org.coltsfootquay.router.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.coltsfootquay.protocol.generated.Frame;

/** Counters of frames and bytes by kind of message; thread-safe. */
public final class PeerCounters {

    /** Bytes of the length field in front of each frame. */
    static final int LENGTH_BYTES = 4;

    private final Map<Frame.BodyCase, Traffic> byKind = new EnumMap<>(Frame.BodyCase.class);
    private final LongAdder refusedConnections = new LongAdder();

    /** Creates counters that start at zero. */
    public PeerCounters() {
        for (Frame.BodyCase kind : Frame.BodyCase.values()) {
            byKind.put(kind, new Traffic(new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder()));
        }
    }

    /**
     * Returns the counters by kind of message.
     *
     * @return counters; kinds without traffic are present with zeros
     */
    public Map<Frame.BodyCase, Traffic> byKind() {
        return byKind;
    }

    /**
     * Returns the number of connections closed because of a wrong hello or a malformed frame.
     *
     * @return number
     */
    public long refusedConnections() {
        return refusedConnections.sum();
    }

    /**
     * Returns all bytes sent.
     *
     * @return bytes with length fields, without TCP and IP headers
     */
    public long sentBytes() {
        return byKind.values().stream()
                .mapToLong(traffic -> traffic.sentBytes().sum())
                .sum();
    }

    void sent(Frame frame, int size) {
        Traffic traffic = byKind.get(frame.getBodyCase());
        traffic.sentFrames().increment();
        traffic.sentBytes().add(size + LENGTH_BYTES);
    }

    void received(Frame frame, int size) {
        Traffic traffic = byKind.get(frame.getBodyCase());
        traffic.receivedFrames().increment();
        traffic.receivedBytes().add(size + LENGTH_BYTES);
    }

    void refused() {
        refusedConnections.increment();
    }

    /**
     * Counters of one kind of message.
     *
     * @param sentFrames frames sent
     * @param sentBytes bytes sent, with length fields
     * @param receivedFrames frames received
     * @param receivedBytes bytes received, with length fields
     */
    public record Traffic(
            LongAdder sentFrames, LongAdder sentBytes, LongAdder receivedFrames, LongAdder receivedBytes) {}
}
