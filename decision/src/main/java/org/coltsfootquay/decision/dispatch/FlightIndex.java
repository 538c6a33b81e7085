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
final class FlightIndex {

    private final Map<RequestAttempt, Flight> byAttempt = new HashMap<>();
    private final Map<RouterId, Set<Flight>> byEntry = new HashMap<>();

    /** An entry is skipped when its flight has left the stage. */
    private final PriorityQueue<StageEnd> stageEnds = new PriorityQueue<>(Comparator.comparingLong(StageEnd::dueNanos));

    private record StageEnd(Flight flight, Flight.Stage stage, long dueNanos) {}

    void add(Flight flight) {
        byAttempt.put(flight.attempt, flight);
        byEntry.computeIfAbsent(flight.entry, router -> new LinkedHashSet<>()).add(flight);
    }

    void remove(Flight flight) {
        byAttempt.remove(flight.attempt);
        Set<Flight> ofEntry = byEntry.get(flight.entry);
        if (ofEntry != null) {
            ofEntry.remove(flight);
            if (ofEntry.isEmpty()) {
                byEntry.remove(flight.entry);
            }
        }
    }

    Flight get(RequestAttempt attempt) {
        return byAttempt.get(attempt);
    }

    List<Flight> of(RouterId entry) {
        return List.copyOf(byEntry.getOrDefault(entry, Set.of()));
    }

    List<Flight> on(ServerSlots server) {
        return byAttempt.values().stream()
                .filter(flight -> flight.server.server.name().equals(server.server.name()))
                .toList();
    }

    void endStageAt(Flight flight, long dueNanos) {
        stageEnds.add(new StageEnd(flight, flight.stage, dueNanos));
    }

    /** Returns a flight whose stage has lasted its whole time, or null; each end is returned once. */
    Flight ended(long nowNanos) {
        while (!stageEnds.isEmpty() && stageEnds.peek().dueNanos() <= nowNanos) {
            StageEnd end = stageEnds.poll();
            if (end.flight().stage == end.stage() && byAttempt.get(end.flight().attempt) != null) {
                return end.flight();
            }
        }
        return null;
    }
}
