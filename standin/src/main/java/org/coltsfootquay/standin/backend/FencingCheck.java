package org.coltsfootquay.standin.backend;

import java.util.OptionalLong;

/** Remembers the highest fencing number and refuses lower ones; used on one event loop. */
public final class FencingCheck {

    private long highest = Long.MIN_VALUE;

    /**
     * Checks a number and remembers it if it is the highest.
     *
     * @param number fencing number of a request or order; a call without one is accepted
     * @param enforced whether a lower number is refused
     * @return whether the call may run
     */
    public boolean accepts(OptionalLong number, boolean enforced) {
        if (number.isEmpty()) {
            return true;
        }
        if (number.getAsLong() < highest) {
            return !enforced;
        }
        highest = number.getAsLong();
        return true;
    }
}
