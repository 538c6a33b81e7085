package org.coltsfootquay.decision.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.junit.jupiter.api.Test;

/** Guards against a restarted or leaving router becoming the root of the aggregation tree. */
final class MembershipViewTest {

    private static final RegionName REGION = new RegionName("region");

    private static Member member(String id, long joinRevision, boolean leaving) {
        return new Member(
                new RouterId(id), 1, new ZoneName("z"), REGION, "127.0.0.1:1", "127.0.0.1:2", leaving, joinRevision);
    }

    private static List<String> ranks(Member... members) {
        Map<RouterId, Member> byId = new HashMap<>();
        for (Member member : members) {
            byId.put(member.id(), member);
        }
        return new MembershipView(byId, 1)
                .ranked(REGION).stream().map(member -> member.id().value()).toList();
    }

    @Test
    void routersRankInTheOrderInWhichTheyJoined() {
        assertEquals(
                List.of("b", "c", "a"), ranks(member("a", 9, false), member("b", 1, false), member("c", 5, false)));
    }

    @Test
    void leavingRoutersRankLast() {
        assertEquals(List.of("a", "b"), ranks(member("a", 9, false), member("b", 1, true)));
    }
}
