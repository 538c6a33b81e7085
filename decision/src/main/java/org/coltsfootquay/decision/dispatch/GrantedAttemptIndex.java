package org.coltsfootquay.decision.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;

/** Granted attempts, indexed by attempt and entry router, with the timeouts of their stages. */
final class GrantedAttemptIndex {

    private final Map<RequestAttempt, GrantedAttempt> byAttempt = new HashMap<>();
    private final Map<RouterId, Set<GrantedAttempt>> byEntryRouter = new HashMap<>();

    /** Stage timeouts; one is ignored if its attempt has left the stage. */
    private final PriorityQueue<StageEnd> stageEnds = new PriorityQueue<>(Comparator.comparingLong(StageEnd::dueNanos));

    private record StageEnd(GrantedAttempt granted, GrantedAttempt.Stage stage, long dueNanos) {}

    void add(GrantedAttempt granted) {
        byAttempt.put(granted.attempt, granted);
        byEntryRouter
                .computeIfAbsent(granted.entryRouter, router -> new LinkedHashSet<>())
                .add(granted);
    }

    void remove(GrantedAttempt granted) {
        byAttempt.remove(granted.attempt);
        Set<GrantedAttempt> ofRouter = byEntryRouter.get(granted.entryRouter);
        if (ofRouter != null) {
            ofRouter.remove(granted);
            if (ofRouter.isEmpty()) {
                byEntryRouter.remove(granted.entryRouter);
            }
        }
    }

    GrantedAttempt get(RequestAttempt attempt) {
        return byAttempt.get(attempt);
    }

    List<GrantedAttempt> ofEntryRouter(RouterId entryRouter) {
        return List.copyOf(byEntryRouter.getOrDefault(entryRouter, Set.of()));
    }

    List<GrantedAttempt> onServer(ServerSlots slots) {
        return byAttempt.values().stream()
                .filter(granted -> granted.slots.server.name().equals(slots.server.name()))
                .toList();
    }

    void scheduleStageEnd(GrantedAttempt granted, long dueNanos) {
        stageEnds.add(new StageEnd(granted, granted.stage, dueNanos));
    }

    /** Returns an attempt whose stage has timed out, or null; each timeout is returned once. */
    GrantedAttempt pollEndedStage(long nowNanos) {
        while (!stageEnds.isEmpty() && stageEnds.peek().dueNanos() <= nowNanos) {
            StageEnd end = stageEnds.poll();
            if (end.granted().stage == end.stage() && byAttempt.get(end.granted().attempt) != null) {
                return end.granted();
            }
        }
        return null;
    }
}
