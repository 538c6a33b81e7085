package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Time until which the published shares of this router's servers are valid without another evaluation.
 *
 * @param untilNanos timer service time at which they end; {@link Long#MAX_VALUE} if the shares are already reduced
 */
public record ShareValidity(long untilNanos) {

    /** Topic written by the ownership controller. */
    public static final Topic<ShareValidity> TOPIC = new Topic<>("share-validity", new ShareValidity(Long.MAX_VALUE));
}
