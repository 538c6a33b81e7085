package org.coltsfootquay.decision.spread;

import java.util.OptionalInt;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Settings for the spreading of callers over routers.
 *
 * @param subsetSize number of routers that a caller is given; 0 for all
 * @param byUse whether routers measure their use and are named by it
 * @param rejectEarly whether a router that fills up rejects new requests
 * @param processorShare share of a processor core that the platform grants; 0 if unknown
 * @param descriptors number of descriptors that the platform grants; 0 if unknown
 */
public record SpreadSettings(
        int subsetSize, boolean byUse, boolean rejectEarly, double processorShare, int descriptors) {

    /** Callers are given all routers, and none is turned away early. */
    public static final SpreadSettings OFF = new SpreadSettings(0, false, false, 0, 0);

    /** Descriptors for files and sockets that are no connections. */
    private static final int RESERVED_DESCRIPTORS = 200;

    /** Part of the other descriptors for callers; the others are for servers, peers and the store. */
    private static final double CALLER_PART = 0.7;

    /** Validates the values. */
    public SpreadSettings {
        ArgumentUtils.requireNonNegative(subsetSize, "subsetSize");
        ArgumentUtils.requireNonNegative(descriptors, "descriptors");
        if (!(processorShare >= 0)) {
            throw new IllegalArgumentException("processorShare must not be negative: " + processorShare);
        }
    }

    /**
     * Returns the maximum number of connections of callers.
     *
     * @return number, empty if the number of descriptors is unknown
     */
    public OptionalInt maxCallerConnections() {
        return descriptors == 0
                ? OptionalInt.empty()
                : OptionalInt.of(Math.max(1, (int) (CALLER_PART * (descriptors - RESERVED_DESCRIPTORS))));
    }
}
