package org.coltsfootquay.decision.rollout;

import java.util.random.RandomGenerator;

/**
 * Limits the share of the requests of a router that go to the target; not thread-safe.
 *
 * <p>The share is one of what this router sent itself, so that it holds for the fleet whatever routers know of each
 * other. Routers start with a random part of a request and a part of the slack; otherwise all would send their first
 * one late, and services with little traffic would have too few responses.
 */
final class CanaryBudget {

    /** Used fraction of the share; the rest covers the time in which the share grows and the target may yet fail. */
    private static final double USED_FRACTION = 0.6;

    /** Used fraction of the slack; the rest covers routers that restart. */
    private static final double USED_SLACK = 0.5;

    /** Largest number of requests saved up while no server of the target may get one. */
    private static final double MAX_CREDIT = 2;

    private final double share;
    private double credit;

    CanaryBudget(RolloutSettings settings, int members, RandomGenerator random) {
        this.share = settings.canaryShare() * USED_FRACTION;
        this.credit = random.nextDouble() + Math.min(1, settings.canarySlack() / members) * USED_SLACK;
    }

    boolean hasCredit() {
        return credit >= 1;
    }

    /** Counts a request to any server of the service. */
    void recordSent(boolean target) {
        credit = Math.min(MAX_CREDIT, credit + share - (target ? 1 : 0));
    }
}
