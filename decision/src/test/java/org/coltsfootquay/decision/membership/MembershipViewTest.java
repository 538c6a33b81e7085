package org.coltsfootquay.decision.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.junit.jupiter.api.Test;

/** Guards against cycles, overfull nodes and restarted routers near the root of the aggregation tree. */
final class MembershipViewTest {

    private static Member member(int number, long joinRevision) {
        return new Member(
                new RouterId("r" + number),
                1,
                new ZoneName("z"),
                new RegionName("region"),
                "127.0.0.1:1",
                "127.0.0.1:2",
                false,
                joinRevision);
    }

    private static MembershipView view(int count) {
        Map<RouterId, Member> members = new HashMap<>();
        IntStream.range(0, count).forEach(i -> members.put(new RouterId("r" + i), member(i, i + 1)));
        return new MembershipView(members, count);
    }

    @Test
    void everyRouterReachesTheRootWithinThreeLevelsAtTargetSize() {
        MembershipView view = view(390);
        for (RouterId id : view.members().keySet()) {
            int depth = 0;
            Optional<Member> parent = view.treeParent(id);
            while (parent.isPresent()) {
                depth++;
                parent = view.treeParent(parent.get().id());
            }
            assertTrue(depth <= 3, "depth " + depth);
        }
    }

    @Test
    void noNodeHasMoreChildrenThanTheFanIn() {
        MembershipView view = view(390);
        Map<RouterId, Integer> children = new HashMap<>();
        view.members()
                .keySet()
                .forEach(id -> view.treeParent(id).ifPresent(parent -> children.merge(parent.id(), 1, Integer::sum)));
        assertTrue(children.values().stream().allMatch(count -> count <= MembershipView.TREE_FAN_IN));
    }

    @Test
    void rootIsTheRouterThatJoinedFirst() {
        MembershipView view = view(8);
        assertEquals(Optional.empty(), view.treeParent(new RouterId("r0")));
    }
}
