package org.coltsfootquay.decision.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against cycles, overfull nodes and too many levels in the aggregation tree. */
final class AggregationTreeTest {

    private static final int TARGET_ROUTERS = 390;

    @Test
    void everyRouterReachesTheRootWithinFiveLevelsAtTargetSize() {
        for (int rank = 0; rank < TARGET_ROUTERS; rank++) {
            int depth = 0;
            for (int node = rank; node > 0; node = AggregationTree.parentRank(node)) {
                depth++;
            }
            assertTrue(depth <= 5, "rank " + rank + " has depth " + depth);
        }
    }

    @Test
    void noNodeHasMoreChildrenThanTheFanIn() {
        Map<Integer, Integer> children = new HashMap<>();
        for (int rank = 1; rank < TARGET_ROUTERS; rank++) {
            children.merge(AggregationTree.parentRank(rank), 1, Integer::sum);
        }
        assertTrue(children.values().stream().allMatch(count -> count <= AggregationTree.FAN_IN));
    }

    @Test
    void rootHasNoParent() {
        assertEquals(-1, AggregationTree.parentRank(0));
    }
}
