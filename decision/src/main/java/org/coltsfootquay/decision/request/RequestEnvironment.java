package org.coltsfootquay.decision.request;

import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.placement.OwnerSelector;
import org.coltsfootquay.decision.retry.RetryPolicy;
import org.coltsfootquay.decision.timeline.TimelineSink;

/** State and services that all flows of a router share; each value is read when it is used. */
public interface RequestEnvironment {

    /**
     * Returns the identifier of this router.
     *
     * @return identifier
     */
    RouterId self();

    /**
     * Returns the incarnation of this router.
     *
     * @return incarnation, which increases with each start
     */
    long incarnation();

    /**
     * Returns the configuration in force.
     *
     * @return configuration
     */
    FleetConfiguration configuration();

    /**
     * Returns the members of the fleet.
     *
     * @return membership as last read
     */
    MembershipView membership();

    /**
     * Returns whether the admission permit of the router has ended.
     *
     * <p>The permit ends at the latest when the router has reached neither the store nor a peer for 5 s.
     *
     * @return true if no new work may be sent
     */
    boolean isIsolated();

    /**
     * Returns the selector of owners for placement.
     *
     * @return selector
     */
    OwnerSelector ownerSelector();

    /**
     * Returns the policy that limits retries.
     *
     * @return policy
     */
    RetryPolicy retryPolicy();

    /**
     * Returns the sink of timeline events.
     *
     * @return sink
     */
    TimelineSink timeline();

    /**
     * Returns the observer of all flows.
     *
     * @return observer
     */
    RequestObserver observer();
}
