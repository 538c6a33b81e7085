package org.coltsfootquay.decision.request;

import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.placement.OwnerSelector;
import org.coltsfootquay.decision.retry.RetryPolicy;
import org.coltsfootquay.decision.timeline.TimelineSink;

/** What all flows of a router share; each value is read at the time of use. */
public interface RequestEnvironment {

    /**
     * Returns this router.
     *
     * @return identifier
     */
    RouterId self();

    /**
     * Returns the incarnation of this router.
     *
     * @return incarnation, greater after each start
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
     * @return members as last read
     */
    MembershipView membership();

    /**
     * Tells whether the router has had contact neither to the store nor to a peer for 5 s.
     *
     * @return true if no new work may be sent
     */
    boolean cutOff();

    /**
     * Returns the choice of owners.
     *
     * @return selector
     */
    OwnerSelector ownerSelector();

    /**
     * Returns the retry budgets.
     *
     * @return policy
     */
    RetryPolicy retryPolicy();

    /**
     * Returns the receiver of recorded decisions.
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
