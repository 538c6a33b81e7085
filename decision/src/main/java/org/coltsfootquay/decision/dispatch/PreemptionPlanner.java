package org.coltsfootquay.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** Decides which streams give way to waiting requests of reserved capacity. */
final class PreemptionPlanner {

    /** Reserved workspaces looked at in one decision; the others follow in the next one. */
    private static final int MAX_QUEUES_PER_PLAN = 8;

    /** Standard deviations of the number of completions that the prediction allows for; covers 95 in 100. */
    private static final double DEVIATIONS = 2;

    /** Streams cancelled for one request at most; a server further above its limit is left to its completions. */
    private static final int MAX_VICTIMS_PER_REQUEST = 4;

    private static final double NANOS_PER_SECOND = 1e9;

    private final SchedulingPolicy policy;

    PreemptionPlanner(SchedulingPolicy policy) {
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
    List<GrantedAttempt> plan(double completionsPerSecond, long firstTokenNanos, long nowNanos) {
        List<GrantedAttempt> victims = new ArrayList<>();
        Map<ServerSlots, Integer> claims = new HashMap<>();
        int position = 0;
        for (WorkspaceQueue queue : policy.reservedQueues(MAX_QUEUES_PER_PLAN, nowNanos)) {
            WaitingRequest head = queue.head();
            position++;
            if (head.victim != null && head.victim.stage == GrantedAttempt.Stage.PREEMPTED) {
                claims.merge(head.victim.slots, 1, Integer::sum);
                continue;
            }
            double slotSeconds = completionsPerSecond == 0
                    ? Double.POSITIVE_INFINITY
                    : (position + DEVIATIONS * Math.sqrt(position)) / completionsPerSecond;
            double left = (head.request.deadlineNanos() - firstTokenNanos - nowNanos) / NANOS_PER_SECOND;
            if (slotSeconds > left && !selectVictims(head, claims, nowNanos, victims)) {
                break;
            }
        }
        return victims;
    }

    /** Chooses the streams to cancel for one request: one, and one more for each request above the server's limit. */
    private boolean selectVictims(WaitingRequest head, Map<ServerSlots, Integer> claims, long now, List<GrantedAttempt> victims) {
        GrantedAttempt first = findVictim(head, null, claims, now);
        if (first == null) {
            return false;
        }
        ServerSlots server = first.slots;
        int needed = requiredVictims(server, claims);
        for (int i = 0; i < needed; i++) {
            GrantedAttempt victim = i == 0 ? first : findVictim(head, server, claims, now);
            if (victim == null) {
                break;
            }
            head.victim = victim;
            victim.stage = GrantedAttempt.Stage.PREEMPTED;
            server.preempting++;
            victims.add(victim);
        }
        claims.merge(server, 1, Integer::sum);
        return true;
    }

    private static int requiredVictims(ServerSlots server, Map<ServerSlots, Integer> claims) {
        int after = server.inFlight - server.preempting + claims.getOrDefault(server, 0);
        return Math.max(1, after + 1 - server.capacity());
    }

    /** Returns the stream of the most over-served workspace that has produced least, or null. */
    private GrantedAttempt findVictim(WaitingRequest head, ServerSlots only, Map<ServerSlots, Integer> claims, long now) {
        for (Iterator<WorkspaceQueue> queues = policy.overServed(now); queues.hasNext(); ) {
            WorkspaceQueue queue = queues.next();
            GrantedAttempt least = null;
            for (GrantedAttempt flight : queue.inFlight) {
                ServerSlots server = flight.slots;
                boolean usable = flight.stage == GrantedAttempt.Stage.STARTED
                        && flight.preemptible
                        && server.owned
                        && server.server.admitsWork()
                        && (only == null ? requiredVictims(server, claims) <= MAX_VICTIMS_PER_REQUEST : server.equals(only))
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
