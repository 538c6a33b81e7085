package org.coltsfootquay.decision.exchange;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides what of an update still applies when the updates of a router arrive in any order and several times; not
 * thread-safe.
 *
 * <p>Amounts since the previous update count once, however late. A state applies only if no later message had a state
 * of the same entry; a full beacon has the states of all entries.
 *
 * @param <K> type of the entries
 */
public final class UpdateOrder<K> {

    private final SequenceWindow window = new SequenceWindow();

    /** Number of the latest update with the state of an entry, since the latest full beacon. */
    private final Map<K, Long> latestStates = new HashMap<>();

    private long fullBeacon = -1;

    /** Creates an order in which nothing was received. */
    public UpdateOrder() {
        // Nothing was received.
    }

    /**
     * Records a full beacon; updates with lower numbers then have no states that apply.
     *
     * @param sequence number of the beacon
     */
    public void fullBeaconReceived(long sequence) {
        window.add(sequence);
        if (sequence > fullBeacon) {
            fullBeacon = sequence;
            latestStates.values().removeIf(update -> update < sequence);
        }
    }

    /**
     * Records an update.
     *
     * @param sequence number of the update
     * @return false if it was received before or is too old to tell
     */
    public boolean updateReceived(long sequence) {
        return window.add(sequence);
    }

    /**
     * Returns the states of an update that no later message has replaced, and records them.
     *
     * @param sequence number of the update
     * @param states states by entry
     * @param <V> type of the states
     * @return states to apply
     */
    public <V> Map<K, V> current(long sequence, Map<K, V> states) {
        if (sequence <= fullBeacon) {
            return Map.of();
        }
        Map<K, V> current = new HashMap<>();
        states.forEach((entry, state) -> {
            if (latestStates.merge(entry, sequence, Math::max) == sequence) {
                current.put(entry, state);
            }
        });
        return current;
    }
}
