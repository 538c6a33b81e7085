package org.coltsfootquay.decision.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.AbstractList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.membership.Member;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.ownership.OwnerMap;
import org.junit.jupiter.api.Test;

/** Guards against requests to owners with long waits, and against a cost that grows with the size of the fleet. */
final class PowerOfTwoChoicesSelectorTest {

    private static final ServiceName SERVICE = new ServiceName("service");
    private static final List<Long> PREFIXES = List.of(1L, 2L, 3L, 4L);

    @Test
    void ownerWithALongWaitIsAvoided() {
        PowerOfTwoChoicesSelector selector = selector(4);
        selector.recordWaitTime(SERVICE, router(0), Duration.ofSeconds(10), 0);
        assertEquals(0, choiceCounts(selector, 1_000, List.of(), 0).getOrDefault(router(0), 0));
    }

    @Test
    void oldWaitExpires() {
        PowerOfTwoChoicesSelector selector = selector(4);
        selector.recordWaitTime(SERVICE, router(0), Duration.ofSeconds(10), 0);
        long later = Duration.ofSeconds(60).toNanos();
        assertTrue(choiceCounts(selector, 1_000, List.of(), later).getOrDefault(router(0), 0) > 50);
    }

    @Test
    void ownerOfTheServerWithThePrefixIsPreferredUnlessItsQueueIsLong() {
        PowerOfTwoChoicesSelector selector = selector(40);
        selector.recordPrefixServed(server(7), PREFIXES.subList(0, 3));
        assertEquals(100, choiceCounts(selector, 100, PREFIXES, 0).get(router(7)));
        selector.recordWaitTime(SERVICE, router(7), Duration.ofSeconds(1), 0);
        assertEquals(0, choiceCounts(selector, 100, PREFIXES, 0).getOrDefault(router(7), 0));
    }

    @Test
    void evictedPrefixHasNoInfluence() {
        PowerOfTwoChoicesSelector selector = selector(40);
        selector.recordPrefixServed(server(7), PREFIXES);
        selector.recordPrefixEvicted(server(7), PREFIXES);
        assertTrue(choiceCounts(selector, 100, PREFIXES, 0).getOrDefault(router(7), 0) < 20);
    }

    @Test
    void prefixTableIsBounded() {
        PrefixTable table = new PrefixTable(100);
        for (long i = 0; i < 10_000; i++) {
            table.put(server(1), List.of(i));
        }
        assertEquals(100, table.size());
    }

    @Test
    void unreachableAndExcludedOwnersAreNotSelected() {
        PowerOfTwoChoicesSelector selector = selector(3);
        selector.recordUnreachable(router(0), 0);
        assertEquals(Optional.of(router(2)), selector.select(SERVICE, List.of(), Set.of(router(1)), 0));
        assertEquals(Optional.empty(), selector.select(SERVICE, List.of(), Set.of(router(1), router(2)), 0));
        long later = PowerOfTwoChoicesSelector.AVOID_NANOS;
        assertEquals(Optional.of(router(0)), selector.select(SERVICE, List.of(), Set.of(router(1), router(2)), later));
    }

    @Test
    void sameZoneDecidesBetweenEqualWaits() {
        PowerOfTwoChoicesSelector selector = selector(2);
        assertEquals(1_000, choiceCounts(selector, 1_000, List.of(), 0).get(router(0)));
    }

    @Test
    void loadIsSpreadOverALargeFleet() {
        int highestCount = choiceCounts(selector(390), 39_000, List.of(), 0).values().stream()
                .mapToInt(count -> count)
                .max()
                .orElseThrow();
        assertTrue(highestCount < 300, "100 on average, but one owner got " + highestCount);
    }

    /** The number of owners that a choice reads does not grow with the number of all owners. */
    @Test
    void costDoesNotDependOnTheNumberOfOwners() {
        assertTrue(reads(390) <= 2 * 8, "reads: " + reads(390));
        assertEquals(reads(39), reads(390));
    }

    private static int reads(int owners) {
        int[] reads = new int[1];
        List<RouterId> counted = new AbstractList<>() {
            @Override
            public RouterId get(int index) {
                reads[0]++;
                return router(index);
            }

            @Override
            public int size() {
                return owners;
            }
        };
        OwnerMap map = new OwnerMap(Map.of(), Map.of(SERVICE, counted));
        MembershipView none = new MembershipView(Map.of(), 0);
        new PowerOfTwoChoicesSelector(new ZoneName("z0"), () -> map, () -> none, 3)
                .select(SERVICE, PREFIXES, Set.of(), 0);
        return reads[0];
    }

    private static Map<RouterId, Integer> choiceCounts(
            PowerOfTwoChoicesSelector selector, int times, List<Long> prefixes, long nowNanos) {
        Map<RouterId, Integer> counts = new HashMap<>();
        for (int i = 0; i < times; i++) {
            counts.merge(selector.select(SERVICE, prefixes, Set.of(), nowNanos).orElseThrow(), 1, Integer::sum);
        }
        return counts;
    }

    /** Router i owns server i; even routers are in the zone of the selector. */
    private static PowerOfTwoChoicesSelector selector(int routers) {
        Map<ServerName, OwnerMap.Owner> owners = new HashMap<>();
        Map<RouterId, Member> members = new HashMap<>();
        List<RouterId> list = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            RouterId router = router(i);
            list.add(router);
            owners.put(server(i), new OwnerMap.Owner(router, 1, 1));
            ZoneName zone = new ZoneName("z" + i % 2);
            members.put(router, new Member(router, 1, zone, new RegionName("r"), "a:1", "a:2", false, i));
        }
        OwnerMap map = new OwnerMap(owners, Map.of(SERVICE, list));
        MembershipView view = new MembershipView(members, 1);
        return new PowerOfTwoChoicesSelector(new ZoneName("z0"), () -> map, () -> view, 11);
    }

    private static RouterId router(int number) {
        return new RouterId("router-" + number);
    }

    private static ServerName server(int number) {
        return new ServerName("server-" + number);
    }
}
