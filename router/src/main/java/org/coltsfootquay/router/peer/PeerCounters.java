package org.coltsfootquay.router.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.coltsfootquay.protocol.generated.Frame;

/** Counters of frames and bytes by kind of message; thread-safe. */
public final class PeerCounters {

    /** Bytes of the length field in front of each frame. */
    static final int LENGTH_FIELD_BYTES = 4;

    private final Map<Frame.BodyCase, Traffic> byMessageType = new EnumMap<>(Frame.BodyCase.class);
    private final LongAdder rejectedConnections = new LongAdder();

    /** Creates counters that start at zero. */
    public PeerCounters() {
        for (Frame.BodyCase kind : Frame.BodyCase.values()) {
            byMessageType.put(kind, new Traffic(new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder()));
        }
    }

    /**
     * Returns the counters by kind of message.
     *
     * @return counters; kinds without traffic are present with zeros
     */
    public Map<Frame.BodyCase, Traffic> byMessageType() {
        return byMessageType;
    }

    /**
     * Returns the number of connections closed because of a wrong hello or a malformed frame.
     *
     * @return number
     */
    public long rejectedConnections() {
        return rejectedConnections.sum();
    }

    /**
     * Returns all bytes sent.
     *
     * @return bytes with length fields, without TCP and IP headers
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
