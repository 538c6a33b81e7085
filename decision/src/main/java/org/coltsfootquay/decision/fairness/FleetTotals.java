package org.coltsfootquay.decision.fairness;

import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Totals that a parent sends to a child, with the acknowledgement of the child's reports.
 *
 * @param version version, greater for newer totals; a new root continues from the version it knows
 * @param acknowledgedSequence last report of the receiving child that was added
 * @param ageMillis age of the least recent report in the totals
 * @param offsets offsets of backlogged workspaces
 * @param rates service rate and number of backlogged workspaces by service
 * @param loads owners with the longest queues and with free slots, by service
 * @param routers routers that the totals cover
 * @param routersWithoutStore those of them that cannot reach the store
 * @param withoutStoreDigest sum of the digests of those that cannot reach the store
 * @param configurationVersion newest configuration version in the fleet
 */
public record FleetTotals(
        long version,
        long acknowledgedSequence,
        long ageMillis,
        List<Offset> offsets,
        Map<ServiceName, Rate> rates,
        Map<ServiceName, List<ServiceTotals.OwnerLoad>> loads,
        int routers,
        int routersWithoutStore,
        long withoutStoreDigest,
        long configurationVersion) {

    /** Copies the collections. */
    public FleetTotals {
        offsets = List.copyOf(offsets);
        rates = Map.copyOf(rates);
        loads = Map.copyOf(loads);
    }

    /**
     * Returns totals before any report.
     *
     * @return empty totals with version 0
     */
    public static FleetTotals none() {
        return new FleetTotals(0, 0, 0, List.of(), Map.of(), Map.of(), 0, 0, 0, 0);
    }

    /**
     * Returns the same totals for another child or a later time.
     *
     * @param sequence acknowledged sequence of the child
     * @param age age of the totals in milliseconds
     * @return totals
     */
    public FleetTotals withAcknowledgement(long sequence, long age) {
        return new FleetTotals(
                version,
                sequence,
                age,
                offsets,
                rates,
                loads,
                routers,
                routersWithoutStore,
                withoutStoreDigest,
                configurationVersion);
    }

    /**
     * Offset of a backlogged workspace.
     *
     * @param workspace workspace
     * @param service service
     * @param units difference between its total and the mean of the backlogged workspaces of the service
     * @param unitsPerSecond its recent rate of service
     */
    public record Offset(WorkspaceId workspace, ServiceName service, long units, long unitsPerSecond) {}

    /**
     * Service rate of the fleet.
     *
     * @param unitsPerSecond units a second
     * @param backlogged number of backlogged workspaces
     */
    public record Rate(long unitsPerSecond, int backlogged) {}
}
