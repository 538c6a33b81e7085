package org.coltsfootquay.decision.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Decides which streams give way to waiting requests of reserved capacity. */
final class PreemptionPlanner {

    /** Reserved workspaces looked at in one decision; the others follow in the next one. */
    private static final int LARGEST_LOOK = 8;

    /** Standard deviations of the number of completions that the prediction allows for; covers 95 in 100. */
    private static final double DEVIATIONS = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final OrderPolicy policy;

    PreemptionPlanner(OrderPolicy policy) {
        this.policy = policy;
    }

    /**
     * Returns streams to cancel.
     *
     * <p>Completions are taken as a Poisson process, in which the k-th one comes within {@code (k + 2 √k) ÷ rate} in 95
     * of 100 cases.
     *
     * @param completionsPerSecond completion rate of the owner's servers; 0 when unknown
     * @param firstTokenNanos time from a send to the first token
     * @param nowNanos current time
     * @return streams, each marked at the request it makes room for
     */
    List<Flight> plan(double completionsPerSecond, long firstTokenNanos, long nowNanos) {
        List<Flight> victims = new ArrayList<>();
        int position = 0;
        for (WorkspaceQueue queue : policy.reservedQueues(LARGEST_LOOK, nowNanos)) {
            WaitingRequest head = queue.head();
            position++;
            boolean makingRoom = head.preempted != null && head.preempted.stage == Flight.Stage.PREEMPTED;
            double slotSeconds = completionsPerSecond == 0
                    ? Double.POSITIVE_INFINITY
                    : (position + DEVIATIONS * Math.sqrt(position)) / completionsPerSecond;
            double left = (head.request.deadlineNanos() - firstTokenNanos - nowNanos) / NANOS_PER_SECOND;
            if (!makingRoom && slotSeconds > left) {
                Flight victim = victim(head, nowNanos);
                if (victim == null) {
                    break;
                }
                head.preempted = victim;
                victim.stage = Flight.Stage.PREEMPTED;
                victims.add(victim);
            }
        }
        return victims;
    }

    /** Returns the stream of the most over-served workspace that has produced least, or null. */
    private Flight victim(WaitingRequest head, long now) {
        for (Iterator<WorkspaceQueue> queues = policy.overServed(now); queues.hasNext(); ) {
            WorkspaceQueue queue = queues.next();
            Flight least = null;
            for (Flight flight : queue.flights) {
                boolean usable = flight.stage == Flight.Stage.STARTED
                        && flight.server.owned
                        && flight.server.server.admitting()
                        && flight.server.inFlight <= flight.server.capacity()
                        && !head.request.excludedServers().contains(flight.server.server.name());
                if (usable && flight.preemptible && (least == null || flight.producedUnits < least.producedUnits)) {
                    least = flight;
                }
            }
            if (least != null) {
                return least;
            }
        }
        return null;
    }
}
