package org.coltsfootquay.decision.exchange;

/**
 * Remembers which of the latest sequence numbers of a sender were received, so that each counts once in any order; not
 * thread-safe.
 */
public final class SequenceWindow {

    /** Numbers remembered behind the latest one; several seconds of updates in a large fleet. */
    public static final int SIZE = Long.SIZE;

    private long latest = -1;

    /** Bit i is set if the number {@code latest - i} was received. */
    private long received;

    /** Creates a window in which nothing was received. */
    public SequenceWindow() {
        // Numbers start at zero.
    }

    /**
     * Records a number.
     *
     * @param sequence number, not negative
     * @return false if it was received before or is too old to tell
     */
    public boolean add(long sequence) {
        if (sequence > latest) {
            long shift = sequence - latest;
            received = shift >= SIZE ? 0 : received << shift;
            received |= 1;
            latest = sequence;
            return true;
        }
        long age = latest - sequence;
        if (sequence < 0 || age >= SIZE || (received & (1L << age)) != 0) {
            return false;
        }
        received |= 1L << age;
        return true;
    }
}
