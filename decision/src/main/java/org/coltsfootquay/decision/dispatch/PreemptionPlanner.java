package org.coltsfootquay.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** Decides which streams give way to waiting requests of reserved capacity. */
final class PreemptionPlanner {

    /** Reserved workspaces looked at in one decision; the others follow in the next one. */
    private static final int LARGEST_LOOK = 8;

    /** Standard deviations of the number of completions that the prediction allows for; covers 95 in 100. */
    private static final double DEVIATIONS = 2;

    /** Streams cancelled for one request at most; a server further above its limit is left to its completions. */
    private static final int LARGEST_NEED = 4;

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
        Map<ServerSlots, Integer> claims = new HashMap<>();
        int position = 0;
        for (WorkspaceQueue queue : policy.reservedQueues(LARGEST_LOOK, nowNanos)) {
            WaitingRequest head = queue.head();
            position++;
            if (head.preempted != null && head.preempted.stage == Flight.Stage.PREEMPTED) {
                claims.merge(head.preempted.server, 1, Integer::sum);
                continue;
            }
            double slotSeconds = completionsPerSecond == 0
                    ? Double.POSITIVE_INFINITY
                    : (position + DEVIATIONS * Math.sqrt(position)) / completionsPerSecond;
            double left = (head.request.deadlineNanos() - firstTokenNanos - nowNanos) / NANOS_PER_SECOND;
            if (slotSeconds > left && !makeRoom(head, claims, nowNanos, victims)) {
                break;
            }
        }
        return victims;
    }

    /** Chooses the streams to cancel for one request: one, and one more for each request above the server's limit. */
    private boolean makeRoom(WaitingRequest head, Map<ServerSlots, Integer> claims, long now, List<Flight> victims) {
        Flight first = victim(head, null, claims, now);
        if (first == null) {
            return false;
        }
        ServerSlots server = first.server;
        int needed = needed(server, claims);
        for (int i = 0; i < needed; i++) {
            Flight victim = i == 0 ? first : victim(head, server, claims, now);
            if (victim == null) {
                break;
            }
            head.preempted = victim;
            victim.stage = Flight.Stage.PREEMPTED;
            server.preempting++;
            victims.add(victim);
        }
        claims.merge(server, 1, Integer::sum);
        return true;
    }

    private static int needed(ServerSlots server, Map<ServerSlots, Integer> claims) {
        int after = server.inFlight - server.preempting + claims.getOrDefault(server, 0);
        return Math.max(1, after + 1 - server.capacity());
    }

    /** Returns the stream of the most over-served workspace that has produced least, or null. */
    private Flight victim(WaitingRequest head, ServerSlots only, Map<ServerSlots, Integer> claims, long now) {
        for (Iterator<WorkspaceQueue> queues = policy.overServed(now); queues.hasNext(); ) {
            WorkspaceQueue queue = queues.next();
            Flight least = null;
            for (Flight flight : queue.flights) {
                ServerSlots server = flight.server;
                boolean usable = flight.stage == Flight.Stage.STARTED
                        && flight.preemptible
                        && server.owned
                        && server.server.admitsWork()
                        && (only == null ? needed(server, claims) <= LARGEST_NEED : server.equals(only))
                        && !head.request.excludedServers().contains(server.server.name());
                if (usable && (least == null || flight.producedUnits < least.producedUnits)) {
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
