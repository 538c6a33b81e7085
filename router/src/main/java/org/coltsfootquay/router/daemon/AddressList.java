package org.coltsfootquay.router.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.configuration.ConfigurationTopic;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.membership.Member;
import org.coltsfootquay.decision.membership.MembershipView;

/**
 * Answer of {@code GET /v1/addresses}: routers that do not leave and whose zone is in service.
 *
 * <p>Routers of this router's zone come first, then those of its region; within a group the order rotates from answer
 * to answer, so that callers spread.
 */
final class AddressList implements Supplier<String> {

    private final Blackboard blackboard;
    private final ZoneName zone;
    private final Duration cacheTime;
    private final AtomicInteger answerCount = new AtomicInteger();

    AddressList(Blackboard blackboard, ZoneName zone, Duration keepTime) {
        this.blackboard = blackboard;
        this.zone = zone;
        this.cacheTime = keepTime;
    }

    @Override
    public String get() {
        FleetConfiguration configuration = blackboard.read(ConfigurationTopic.IN_FORCE);
        List<Member> near = new ArrayList<>();
        List<Member> region = new ArrayList<>();
        List<Member> far = new ArrayList<>();
        for (Member member : blackboard.read(MembershipView.TOPIC).members().values()) {
            if (!member.leaving() && configuration.inService(member.zone())) {
                boolean sameRegion = configuration.zones().containsKey(zone)
                        && configuration.zones().get(zone).region().equals(member.region());
                (member.zone().equals(zone) ? near : sameRegion ? region : far).add(member);
            }
        }
        int turn = answerCount.getAndIncrement() & Integer.MAX_VALUE;
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ArrayNode addresses = root.putArray("addresses");
        for (List<Member> group : List.of(near, region, far)) {
            if (!group.isEmpty()) {
                Collections.rotate(group, -(turn % group.size()));
            }
            group.forEach(member -> addresses
                    .addObject()
                    .put("address", member.callerAddress())
                    .put("router", member.id().value())
                    .put("zone", member.zone().value()));
        }
        return root.put("keepMillis", cacheTime.toMillis()).toString();
    }
}
