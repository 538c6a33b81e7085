package org.coltsfootquay.decision.rollout;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Order of the operator to move the traffic of a service to another version.
 *
 * @param service service
 * @param target version that shall get the traffic
 * @param duration time within which the roll-out must have ended
 * @param era era of the store in which the order was read; 0 while unknown
 * @param revision revision of the row of the order
 */
public record RolloutOrder(ServiceName service, String target, Duration duration, long era, long revision) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if the target is blank or the duration is not positive
     */
    public RolloutOrder {
        ArgumentUtils.requireValue(service, "service");
        ArgumentUtils.requireText(target, "target");
        ArgumentUtils.requirePositive(duration.toNanos(), "duration");
    }

    /**
     * Returns this order as read in an era of the store.
     *
     * @param newEra era; 0 while unknown
     * @return order
     */
    public RolloutOrder inEra(long newEra) {
        return new RolloutOrder(service, target, duration, newEra, revision);
    }

    /**
     * Returns whether an order is this one, written again after the store came back from an older copy.
     *
     * @param other order
     * @return true if the other order has a later era and the same content
     */
    boolean isRewrittenAs(RolloutOrder other) {
        return other.era > era
                && service.equals(other.service)
                && target.equals(other.target)
                && duration.equals(other.duration);
    }
}
