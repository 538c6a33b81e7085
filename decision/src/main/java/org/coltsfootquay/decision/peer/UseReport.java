package org.coltsfootquay.decision.peer;

import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Latest report of a ready router about the use of its resources.
 *
 * @param router router
 * @param zone availability zone of the router
 * @param use use of its resources
 * @param atNanos time of the report
 */
public record UseReport(RouterId router, ZoneName zone, RouterUse use, long atNanos) {

    /** Validates the values. */
    public UseReport {
        ArgumentUtils.requireValue(router, "router");
        ArgumentUtils.requireValue(zone, "zone");
        ArgumentUtils.requireValue(use, "use");
    }
}
