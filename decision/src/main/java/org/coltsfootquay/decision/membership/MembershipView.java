package org.coltsfootquay.decision.membership;

import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.blackboard.Topic;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;

/**
 * Immutable snapshot of the fleet members as last read from the store.
 *
 * @param members members by identifier, ordered by join revision
 * @param revision store revision at which the view was read
 */
public record MembershipView(Map<RouterId, Member> members, long revision) {

    /** Topic written by the membership controller. */
    public static final Topic<MembershipView> TOPIC = new Topic<>("membership", new MembershipView(Map.of(), 0));

    /** Copies the members in the order of their join revisions. */
    public MembershipView {
        Map<RouterId, Member> ordered = new LinkedHashMap<>();
        members.values().stream()
                .sorted(Comparator.comparingLong(Member::joinRevision).thenComparing(Member::id))
                .forEach(member -> ordered.put(member.id(), member));
        members = Collections.unmodifiableMap(ordered);
    }

    /**
     * Returns the members of a region in the order of their ranks; leaving members come last.
     *
     * @param region region
     * @return members
     */
    public List<Member> ranked(RegionName region) {
        return members.values().stream()
                .filter(member -> member.region().equals(region))
                .sorted(Comparator.comparing(Member::leaving))
                .toList();
    }
}
