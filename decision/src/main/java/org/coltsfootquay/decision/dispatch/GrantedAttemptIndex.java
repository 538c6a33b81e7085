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

/** Attempts that were granted, found by attempt and entry router, with the stages that end by themselves. */
final class GrantedAttemptIndex {

    private final Map<RequestAttempt, GrantedAttempt> byAttempt = new HashMap<>();
    private final Map<RouterId, Set<GrantedAttempt>> byEntryRouter = new HashMap<>();

    /** An entry is skipped when its flight has left the stage. */
    private final PriorityQueue<StageEnd> stageEnds = new PriorityQueue<>(Comparator.comparingLong(StageEnd::dueNanos));

    private record StageEnd(GrantedAttempt granted, GrantedAttempt.Stage stage, long dueNanos) {}

    void add(GrantedAttempt flight) {
        byAttempt.put(flight.attempt, flight);
        byEntryRouter.computeIfAbsent(flight.entryRouter, router -> new LinkedHashSet<>()).add(flight);
    }

    void remove(GrantedAttempt flight) {
        byAttempt.remove(flight.attempt);
        Set<GrantedAttempt> ofEntry = byEntryRouter.get(flight.entryRouter);
        if (ofEntry != null) {
            ofEntry.remove(flight);
            if (ofEntry.isEmpty()) {
                byEntryRouter.remove(flight.entryRouter);
            }
        }
    }

    GrantedAttempt get(RequestAttempt attempt) {
        return byAttempt.get(attempt);
    }

    List<GrantedAttempt> ofEntryRouter(RouterId entry) {
        return List.copyOf(byEntryRouter.getOrDefault(entry, Set.of()));
    }

    List<GrantedAttempt> onServer(ServerSlots server) {
        return byAttempt.values().stream()
                .filter(flight -> flight.slots.server.name().equals(server.server.name()))
                .toList();
    }

    void scheduleStageEnd(GrantedAttempt flight, long dueNanos) {
        stageEnds.add(new StageEnd(flight, flight.stage, dueNanos));
    }

    /** Returns a flight whose stage has lasted its whole time, or null; each end is returned once. */
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
