package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Time until which this router may grant or send new work, given its contact with the store and with other routers.
 *
 * <p>Readers compare with their own reading of the same clock, so that a pause of the process ends the permission even
 * before the controllers run again.
 *
 * @param untilNanos end of the permission by the timer service
 */
public record AdmissionPermit(long untilNanos) {

    /** Topic written by the contact controller. */
    public static final Topic<AdmissionPermit> TOPIC = new Topic<>("work-permit", new AdmissionPermit(Long.MIN_VALUE / 2));

    /**
     * Tells whether new work is permitted.
     *
     * @param nowNanos time by the timer service
     * @return true before the end of the permission
     */
    public boolean allows(long nowNanos) {
        return nowNanos < untilNanos;
    }
}
