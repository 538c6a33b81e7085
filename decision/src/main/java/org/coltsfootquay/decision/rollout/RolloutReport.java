package org.coltsfootquay.decision.rollout;

import java.util.Map;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * What a router tells its peers of a roll-out.
 *
 * @param service service
 * @param era era of the store in which the order was read
 * @param revision revision of the row of the order
 * @param stopped true if the router sends no requests to the target
 * @param counts responses since the router has learned of the order
 */
public record RolloutReport(
        ServiceName service, long era, long revision, boolean stopped, Map<CountKey, VersionCounts> counts) {

    /** Makes an immutable copy of the counts. */
    public RolloutReport {
        counts = Map.copyOf(counts);
    }
}
