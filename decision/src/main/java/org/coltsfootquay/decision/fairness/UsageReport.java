package org.coltsfootquay.decision.fairness;

import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Usage report of a router and its subtree to its parent in the aggregation tree.
 *
 * <p>The units of a counter are its sum since the start of the session, not the increment since the last report, so a
 * lost report is covered by the next one and a repeated report has no effect. Counters that have not changed since the
 * last acknowledged report are omitted unless their workspace is backlogged.
 *
 * @param session session number; a later session has a greater number, and its sums start at zero
 * @param sequence sequence number of the report, increasing across sessions
 * @param usage counters
 * @param loads owners with the longest queues and with free slots, by service
 * @param routersInSubtree number of routers that the report covers
 * @param routersWithoutStore number of those routers that cannot reach the store
 * @param withoutStoreDigest sum of the digests of the routers that cannot reach the store
 * @param configurationVersion newest configuration version in the subtree
 * @param ageMillis age of the oldest data in the report, in milliseconds
 */
public record UsageReport(
        long session,
        long sequence,
        List<WorkspaceUsage> usage,
        Map<ServiceName, List<ServiceTotals.OwnerLoad>> loads,
        int routersInSubtree,
        int routersWithoutStore,
        long withoutStoreDigest,
        long configurationVersion,
        long ageMillis) {

    /** Copies the collections. */
    public UsageReport {
        usage = List.copyOf(usage);
        loads = Map.copyOf(loads);
    }
}
