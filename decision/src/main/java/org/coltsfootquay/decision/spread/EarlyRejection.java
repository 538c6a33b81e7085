package org.coltsfootquay.decision.spread;

import java.util.Collection;
import java.util.List;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.peer.UseReport;

/**
 * Decides which new requests a router that fills up turns away, so that their callers choose another router; not
 * thread-safe.
 *
 * <p>Load that it answers: callers keep to a full router until their list of addresses changes. The rejected share
 * grows from none to all as a resource is used up, so the router sheds what it cannot take instead of all callers at
 * once. While too few other routers have room, nothing is rejected: callers would only meet the next full router.
 */
public final class EarlyRejection {

    /** Share of a resource in use above which requests are rejected. */
    private static final double START = 0.8;

    /** Use below which another router has room, permille. */
    private static final int ROOM_USE = 600;

    /** Part of the other routers that must have room; more than the few that may state a false use. */
    private static final double ROOM_PART = 0.25;

    private boolean othersHaveRoom;
    private double rejectedShare;

    /** Requests to reject, minus those rejected; a fraction of a request. */
    private double due;

    /** Creates an instance that rejects nothing until the first update. */
    public EarlyRejection() {
        // The state is set by the first update.
    }

    /**
     * Updates the state.
     *
     * @param pressure largest share of a resource in use, 0 to 1
     * @param self this router
     * @param zone zone of this router
     * @param reports latest reports of all ready routers
     */
    public void update(double pressure, RouterId self, ZoneName zone, Collection<UseReport> reports) {
        List<UseReport> others = reports.stream()
                .filter(report -> report.zone().equals(zone) && !report.router().equals(self))
                .toList();
        long withRoom = others.stream()
                .filter(report -> report.use().isKnown() && report.use().permille() < ROOM_USE)
                .count();
        othersHaveRoom = withRoom > 0 && withRoom >= ROOM_PART * others.size();
        rejectedShare = Math.max(0, Math.min(1, (pressure - START) / (1 - START)));
    }

    /**
     * Returns whether a part of the new requests is rejected.
     *
     * @return true if requests are rejected
     */
    public boolean active() {
        return othersHaveRoom && rejectedShare > 0;
    }

    /**
     * Decides on a new request.
     *
     * @return true if the request is to be rejected as not run
     */
    public boolean rejects() {
        if (!active()) {
            due = 0;
            return false;
        }
        due += rejectedShare;
        if (due < 1) {
            return false;
        }
        due--;
        return true;
    }
}
