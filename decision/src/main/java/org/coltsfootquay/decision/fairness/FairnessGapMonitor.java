package org.coltsfootquay.decision.fairness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Measures the fairness gap of one service: the largest difference in service received by two workspaces over any
 * interval in which both stay backlogged.
 *
 * <p>An observation takes time quadratic in the number of backlogged workspaces; one observation per second is enough.
 */
public final class FairnessGapMonitor {

    private final Map<WorkspaceId, Integer> indexes = new HashMap<>();
    private final List<Long> unitsByIndex = new ArrayList<>();
    private final Map<Long, Pair> pairs = new HashMap<>();
    private Optional<Gap> largest = Optional.empty();

    /**
     * Fairness gap between two workspaces.
     *
     * @param moreServed workspace that received more
     * @param lessServed workspace that received less
     * @param units difference in service units
     */
    public record Gap(WorkspaceId moreServed, WorkspaceId lessServed, long units) {}

    private static final class Pair {

        private final long initialDifference;
        private long minChange;
        private long maxChange;

        private Pair(long initialDifference) {
            this.initialDifference = initialDifference;
        }
    }

    /**
     * Adds service units received by a workspace.
     *
     * @param workspace workspace
     * @param units service units
     */
    public void add(WorkspaceId workspace, long units) {
        int index = index(workspace);
        unitsByIndex.set(index, unitsByIndex.get(index) + units);
    }

    /**
     * Records which workspaces are backlogged now. A workspace that is absent starts a new interval when it
     * is backlogged again.
     *
     * @param backlogged workspaces that had waiting requests since the last observation
     * @return largest gap of the current intervals, or empty if fewer than two workspaces are backlogged
     */
    public Optional<Gap> observe(Set<WorkspaceId> backlogged) {
        List<WorkspaceId> sorted = backlogged.stream().sorted().toList();
        Map<Long, Pair> openPairs = new HashMap<>();
        Optional<Gap> current = Optional.empty();
        for (int i = 0; i < sorted.size(); i++) {
            for (int j = i + 1; j < sorted.size(); j++) {
                int first = index(sorted.get(i));
                int second = index(sorted.get(j));
                long key = ((long) first << 32) | second;
                long difference = unitsByIndex.get(first) - unitsByIndex.get(second);
                Pair pair = pairs.get(key);
                if (pair == null) {
                    pair = new Pair(difference);
                }
                openPairs.put(key, pair);
                long change = difference - pair.initialDifference;
                pair.minChange = Math.min(pair.minChange, change);
                pair.maxChange = Math.max(pair.maxChange, change);
                long range = pair.maxChange - pair.minChange;
                if (current.isEmpty() || range > current.get().units()) {
                    boolean firstLeads = change > (pair.maxChange + pair.minChange) / 2;
                    current =
                            Optional.of(new Gap(sorted.get(firstLeads ? i : j), sorted.get(firstLeads ? j : i), range));
                }
            }
        }
        pairs.clear();
        pairs.putAll(openPairs);
        if (current.isPresent()
                && (largest.isEmpty() || current.get().units() > largest.get().units())) {
            largest = current;
        }
        return current;
    }

    /**
     * Returns the largest gap of all observations.
     *
     * @return gap, or empty if no two workspaces were backlogged at the same time
     */
    public Optional<Gap> largest() {
        return largest;
    }

    private int index(WorkspaceId workspace) {
        Integer known = indexes.get(workspace);
        if (known != null) {
            return known;
        }
        indexes.put(workspace, unitsByIndex.size());
        unitsByIndex.add(0L);
        return unitsByIndex.size() - 1;
    }
}
