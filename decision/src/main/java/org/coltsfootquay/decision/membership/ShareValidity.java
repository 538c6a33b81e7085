package org.coltsfootquay.decision.membership;

import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Time until which the published shares of this router's servers hold without a further evaluation.
 *
 * @param untilNanos end by the timer service; {@link Long#MAX_VALUE} when the shares are already reduced
 */
public record ShareValidity(long untilNanos) {

    /** Topic written by the ownership controller. */
    public static final Topic<ShareValidity> TOPIC = new Topic<>("share-validity", new ShareValidity(Long.MAX_VALUE));
}
