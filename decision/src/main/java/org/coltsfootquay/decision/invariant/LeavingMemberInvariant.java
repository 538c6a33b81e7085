package org.coltsfootquay.decision.invariant;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Checks G4 and G8: a leaving zone or server receives no new work after 2 s.
 *
 * <p>A router passes its own grants and the times at which it learned of state changes; a simulation passes the grants
 * of connected routers and the times at which commands were accepted. Not thread-safe.
 */
public final class LeavingMemberInvariant {

    private static final Duration GRACE_PERIOD = Duration.ofSeconds(2);

    private final InvariantMonitor monitor;
    private final Map<ZoneName, Long> zoneLeavingSince = new HashMap<>();
    private final Map<ServerName, Long> serverLeavingSince = new HashMap<>();

    /**
     * Creates the check.
     *
     * @param monitor monitor that counts and records violations
     */
    public LeavingMemberInvariant(InvariantMonitor monitor) {
        this.monitor = ArgumentUtils.requireValue(monitor, "monitor");
    }

    /**
     * Records the state of a zone; has no effect unless the state changed.
     *
     * @param zone zone
     * @param leaving whether the zone is leaving
     * @param nowNanos current time of the timer service
     */
    public void recordZone(ZoneName zone, boolean leaving, long nowNanos) {
        recordState(zoneLeavingSince, zone, leaving, nowNanos);
    }

    /**
     * Records the state of a server; has no effect unless the state changed.
     *
     * @param server server
     * @param leaving whether the server is leaving
     * @param nowNanos current time of the timer service
     */
    public void recordServer(ServerName server, boolean leaving, long nowNanos) {
        recordState(serverLeavingSince, server, leaving, nowNanos);
    }

    /**
     * Checks a grant, or that a router is in a state in which it would grant.
     *
     * @param router granting router
     * @param server server on which work is granted
     * @param zone zone of the server
     * @param nowNanos current time of the timer service
     */
    public void checkGrant(RouterId router, ServerName server, ZoneName zone, long nowNanos) {
        if (isPastGracePeriod(zoneLeavingSince.get(zone), nowNanos)) {
            monitor.recordViolation(
                    Guarantee.G4,
                    "request granted in a leaving zone",
                    "router",
                    router,
                    "server",
                    server,
                    "zone",
                    zone,
                    "sinceMillis",
                    Duration.ofNanos(nowNanos - zoneLeavingSince.get(zone)).toMillis());
        }
        if (isPastGracePeriod(serverLeavingSince.get(server), nowNanos)) {
            monitor.recordViolation(
                    Guarantee.G8,
                    "request granted on a leaving server",
                    "router",
                    router,
                    "server",
                    server,
                    "sinceMillis",
                    Duration.ofNanos(nowNanos - serverLeavingSince.get(server)).toMillis());
        }
    }

    private static <K> void recordState(Map<K, Long> since, K key, boolean leaving, long nowNanos) {
        if (leaving) {
            since.putIfAbsent(key, nowNanos);
        } else {
            since.remove(key);
        }
    }

    private static boolean isPastGracePeriod(Long since, long nowNanos) {
        return since != null && nowNanos - since > GRACE_PERIOD.toNanos();
    }
}
