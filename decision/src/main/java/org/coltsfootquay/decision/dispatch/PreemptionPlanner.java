package org.coltsfootquay.decision.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** Selects streams to preempt in favor of waiting requests of workspaces with reserved capacity. */
final class PreemptionPlanner {

    /** Maximum number of reserved queues considered in one call; the others are considered in later calls. */
    private static final int MAX_QUEUES_PER_PLAN = 8;

    /** Number of standard deviations of the completion count that the prediction allows for; covers 95% of cases. */
    private static final double DEVIATIONS = 2;

    /**
     * Maximum number of streams cancelled for one request; a server further above its limit is left to reduce its load
     * by completions.
     */
    private static final int MAX_VICTIMS_PER_REQUEST = 4;

    private static final double NANOS_PER_SECOND = 1e9;

    private final SchedulingPolicy policy;

    PreemptionPlanner(SchedulingPolicy policy) {
        this.policy = policy;
    }

    /**
     * Returns the streams to cancel.
     *
     * <p>Completions are modeled as a Poisson process, in which the k-th completion occurs within {@code (k + 2 √k) ÷
     * rate} in 95% of cases.
     *
     * @param completionsPerSecond completion rate of the owner's servers; 0 if unknown
     * @param firstTokenNanos time from a send to the first token
     * @param nowNanos current time
     * @return streams; each waiting request records the last stream selected for it
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
            double remainingSeconds = (head.request.deadlineNanos() - firstTokenNanos - nowNanos) / NANOS_PER_SECOND;
            if (slotSeconds > remainingSeconds && !selectVictims(head, claims, nowNanos, victims)) {
                break;
            }
        }
        return victims;
    }

    /** Selects the streams to cancel for one request: one, plus one for each request above the server's limit. */
    private boolean selectVictims(
            WaitingRequest head, Map<ServerSlots, Integer> claims, long now, List<GrantedAttempt> victims) {
        GrantedAttempt first = findVictim(head, null, claims, now);
        if (first == null) {
            return false;
        }
        ServerSlots slots = first.slots;
        int required = requiredVictims(slots, claims);
        for (int i = 0; i < required; i++) {
            GrantedAttempt victim = i == 0 ? first : findVictim(head, slots, claims, now);
            if (victim == null) {
                break;
            }
            head.victim = victim;
            victim.stage = GrantedAttempt.Stage.PREEMPTED;
            slots.preempting++;
            victims.add(victim);
        }
        claims.merge(slots, 1, Integer::sum);
        return true;
    }

    private static int requiredVictims(ServerSlots slots, Map<ServerSlots, Integer> claims) {
        int inFlightAfter = slots.inFlight - slots.preempting + claims.getOrDefault(slots, 0);
        return Math.max(1, inFlightAfter + 1 - slots.capacity());
    }

    /** Returns the stream with the least output of the most over-served workspace with a usable stream, or null. */
    private GrantedAttempt findVictim(
            WaitingRequest head, ServerSlots requiredSlots, Map<ServerSlots, Integer> claims, long now) {
        for (Iterator<WorkspaceQueue> queues = policy.overServed(now); queues.hasNext(); ) {
            WorkspaceQueue queue = queues.next();
            GrantedAttempt least = null;
            for (GrantedAttempt granted : queue.inFlight) {
                ServerSlots slots = granted.slots;
                boolean usable = granted.stage == GrantedAttempt.Stage.STARTED
                        && granted.preemptible
                        && slots.owned
                        && slots.server.admitsWork()
                        && (requiredSlots == null
                                ? requiredVictims(slots, claims) <= MAX_VICTIMS_PER_REQUEST
                                : slots.equals(requiredSlots))
                        && !head.request.excludedServers().contains(slots.server.name());
                if (usable && (least == null || granted.producedUnits < least.producedUnits)) {
                    least = granted;
                }
            }
            if (least != null) {
                return least;
            }
        }
        return null;
    }
}
