package org.coltsfootquay.decision.fairness;

import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Report of a router and its subtree to its parent in the tree.
 *
 * <p>The units of a counter are its sum since the session began, not the increment since the last report: a report that
 * is lost is covered by the next one, and a report that is repeated changes nothing. Counters that did not change since
 * the last acknowledged report are absent unless their workspace is backlogged.
 *
 * @param session number of the sequence of reports; a later session has a greater number, and its sums begin at zero
 * @param sequence number of the report, increasing over sessions
 * @param usage counters
 * @param loads owners with the longest queues and with free slots, by service
 * @param routersInSubtree routers that the report covers
 * @param routersWithoutStore those of them that cannot reach the store
 * @param withoutStoreDigest sum of the digests of those that cannot reach the store
 * @param configurationVersion newest configuration version in the subtree
 * @param ageMillis age of the least recent part of the report
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
