package org.coltsfootquay.router.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.coltsfootquay.protocol.generated.Frame;

/** Thread-safe counters of frames and bytes by message type. */
public final class PeerCounters {

    /** Size in bytes of the length field that precedes each frame. */
    static final int LENGTH_FIELD_BYTES = 4;

    private final Map<Frame.BodyCase, Traffic> byMessageType = new EnumMap<>(Frame.BodyCase.class);
    private final LongAdder rejectedConnections = new LongAdder();

    /** Creates counters that start at zero. */
    public PeerCounters() {
        for (Frame.BodyCase type : Frame.BodyCase.values()) {
            byMessageType.put(type, new Traffic(new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder()));
        }
    }

    /**
     * Returns the counters by message type.
     *
     * @return counters; types without traffic are present with zero counts
     */
    public Map<Frame.BodyCase, Traffic> byMessageType() {
        return byMessageType;
    }

    /**
     * Returns the number of connections closed because of an invalid hello or a malformed frame.
     *
     * @return number of connections
     */
    public long rejectedConnections() {
        return rejectedConnections.sum();
    }

    /**
     * Returns the total number of bytes sent.
     *
     * @return bytes including length fields, excluding TCP and IP headers
     */
    public long sentBytes() {
        return byMessageType.values().stream()
                .mapToLong(traffic -> traffic.sentBytes().sum())
                .sum();
    }

    void recordSent(Frame frame, int size) {
        Traffic traffic = byMessageType.get(frame.getBodyCase());
        traffic.sentFrames().increment();
        traffic.sentBytes().add(size + LENGTH_FIELD_BYTES);
    }

    void recordReceived(Frame frame, int size) {
        Traffic traffic = byMessageType.get(frame.getBodyCase());
        traffic.receivedFrames().increment();
        traffic.receivedBytes().add(size + LENGTH_FIELD_BYTES);
    }

    void recordRejected() {
        rejectedConnections.increment();
    }

    /**
     * Counters of one message type.
     *
     * @param sentFrames frames sent
     * @param sentBytes bytes sent, including length fields
     * @param receivedFrames frames received
     * @param receivedBytes bytes received, including length fields
     */
    public record Traffic(
            LongAdder sentFrames, LongAdder sentBytes, LongAdder receivedFrames, LongAdder receivedBytes) {}
}
