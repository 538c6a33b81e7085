package org.coltsfootquay.decision.fairness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Measures the fairness gap of one service: the largest difference in service of two workspaces over any interval in
 * which both stay backlogged.
 *
 * <p>An observation takes time quadratic in the number of backlogged workspaces; one a second is enough.
 */
public final class FairnessGapMonitor {

    private final Map<WorkspaceId, Integer> indexes = new HashMap<>();
    private final List<Long> unitsByIndex = new ArrayList<>();
    private final Map<Long, Pair> pairs = new HashMap<>();
    private Optional<Gap> largest = Optional.empty();

    /**
     * Difference in service between two workspaces.
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

        private Pair(long start) {
            this.initialDifference = start;
        }
    }

    /**
     * Adds service to a workspace.
     *
     * @param workspace workspace
     * @param units service units
     */
    public void add(WorkspaceId workspace, long units) {
        int index = index(workspace);
        unitsByIndex.set(index, unitsByIndex.get(index) + units);
    }

    /**
     * Observes which workspaces are backlogged now; a workspace that is absent begins a new interval when it returns.
     *
     * @param backlogged workspaces with waiting requests since the last observation
     * @return largest gap among intervals that are still open
     */
    public Optional<Gap> observe(Set<WorkspaceId> backlogged) {
        List<WorkspaceId> present = backlogged.stream().sorted().toList();
        Map<Long, Pair> open = new HashMap<>();
        Optional<Gap> now = Optional.empty();
        for (int i = 0; i < present.size(); i++) {
            for (int j = i + 1; j < present.size(); j++) {
                int first = index(present.get(i));
                int second = index(present.get(j));
                long key = ((long) first << 32) | second;
                long difference = unitsByIndex.get(first) - unitsByIndex.get(second);
                Pair pair = pairs.get(key);
                if (pair == null) {
                    pair = new Pair(difference);
                }
                open.put(key, pair);
                long change = difference - pair.initialDifference;
                pair.minChange = Math.min(pair.minChange, change);
                pair.maxChange = Math.max(pair.maxChange, change);
                long range = pair.maxChange - pair.minChange;
                if (now.isEmpty() || range > now.get().units()) {
                    boolean firstLeads = change > (pair.maxChange + pair.minChange) / 2;
                    now = Optional.of(new Gap(present.get(firstLeads ? i : j), present.get(firstLeads ? j : i), range));
                }
            }
        }
        pairs.clear();
        pairs.putAll(open);
        if (now.isPresent()
                && (largest.isEmpty() || now.get().units() > largest.get().units())) {
            largest = now;
        }
        return now;
    }

    /**
     * Returns the largest gap of all observations.
     *
     * @return gap, or empty when no two workspaces were backlogged at the same time
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
