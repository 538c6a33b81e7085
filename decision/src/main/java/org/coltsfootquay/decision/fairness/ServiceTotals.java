package org.coltsfootquay.decision.fairness;

import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.blackboard.Topic;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * What a router knows about the service that workspaces received over the whole fleet, one snapshot for all services.
 *
 * @param byService totals by service; services without a backlogged workspace are absent
 * @param loads owners with the longest queues and owners with free slots, by service
 * @param version version, greater for newer totals of one root
 */
public record ServiceTotals(Map<ServiceName, Totals> byService, Map<ServiceName, List<OwnerLoad>> loads, long version) {

    /** Topic written by the totals controller. */
    public static final Topic<ServiceTotals> TOPIC =
            new Topic<>("service-totals", new ServiceTotals(Map.of(), Map.of(), 0));

    /** Copies the maps. */
    public ServiceTotals {
        byService = Map.copyOf(byService);
        loads = Map.copyOf(loads);
    }

    /**
     * Totals of one service.
     *
     * @param offsets difference between the total of each backlogged workspace and their mean, in service units
     * @param consumedPerSecond recent rate of service of each listed workspace, in units a second
     * @param fleetRate recent rate of service of the whole fleet, in units a second
     * @param backlogged number of backlogged workspaces
     * @param asOfNanos time by the local monotonic clock that the oldest report in the totals is from
     */
    public record Totals(
            Map<WorkspaceId, Long> offsets,
            Map<WorkspaceId, Long> consumedPerSecond,
            long fleetRate,
            int backlogged,
            long asOfNanos) {

        /** Copies the maps. */
        public Totals {
            offsets = Map.copyOf(offsets);
            consumedPerSecond = Map.copyOf(consumedPerSecond);
        }
    }

    /**
     * Load of an owner for one service.
     *
     * @param router owner
     * @param freeSlots requests it could start now
     * @param queueLength requests that wait
     * @param oldestWaitMillis waiting time of the oldest request
     */
    public record OwnerLoad(RouterId router, int freeSlots, int queueLength, long oldestWaitMillis) {}
}
