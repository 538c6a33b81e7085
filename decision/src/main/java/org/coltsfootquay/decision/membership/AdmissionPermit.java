package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Time until which this router may grant or send new work, derived from its connectivity to the store and to peers.
 *
 * <p>Readers compare it with their own reading of the same clock. A permit can therefore end during a pause of the
 * process, before the controllers run again.
 *
 * @param untilNanos timer service time at which the permit ends
 */
public record AdmissionPermit(long untilNanos) {

    /** Topic written by the admission permit controller. */
    public static final Topic<AdmissionPermit> TOPIC =
            new Topic<>("admission-permit", new AdmissionPermit(Long.MIN_VALUE / 2));

    /**
     * Tests whether new work is permitted.
     *
     * @param nowNanos timer service time
     * @return true before the permit ends
     */
    public boolean allows(long nowNanos) {
        return nowNanos < untilNanos;
    }
}
