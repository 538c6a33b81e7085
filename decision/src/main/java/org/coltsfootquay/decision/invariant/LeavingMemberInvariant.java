package org.coltsfootquay.decision.invariant;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * G4 and G8: a zone or server that leaves receives no new work after 2 s.
 *
 * <p>A router passes the times at which it learned of changes and its own grants; a simulation passes the times at
 * which commands were accepted and the grants of connected routers. Not thread-safe.
 */
public final class LeavingMemberInvariant {

    private static final Duration LIMIT = Duration.ofSeconds(2);

    private final InvariantMonitor monitor;
    private final Map<ZoneName, Long> zones = new HashMap<>();
    private final Map<ServerName, Long> servers = new HashMap<>();

    /**
     * Creates the check.
     *
     * @param monitor receiver of violations
     */
    public LeavingMemberInvariant(InvariantMonitor monitor) {
        this.monitor = ArgumentUtils.requireValue(monitor, "monitor");
    }

    /**
     * Notes the state of a zone; only changes matter.
     *
     * @param zone zone
     * @param leaving whether it is leaving
     * @param nowNanos time by the timer service
     */
    public void recordZone(ZoneName zone, boolean leaving, long nowNanos) {
        note(zones, zone, leaving, nowNanos);
    }

    /**
     * Notes the state of a server; only changes matter.
     *
     * @param server server
     * @param leaving whether it is leaving
     * @param nowNanos time by the timer service
     */
    public void recordServer(ServerName server, boolean leaving, long nowNanos) {
        note(servers, server, leaving, nowNanos);
    }

    /**
     * Checks a grant, or that a router would grant.
     *
     * @param router granting router
     * @param server server
     * @param zone zone of the server
     * @param nowNanos time by the timer service
     */
    public void checkGrant(RouterId router, ServerName server, ZoneName zone, long nowNanos) {
        if (late(zones.get(zone), nowNanos)) {
            monitor.recordViolation(
                    Guarantee.G4,
                    "new work in a leaving zone",
                    "router",
                    router,
                    "server",
                    server,
                    "zone",
                    zone,
                    "sinceMillis",
                    Duration.ofNanos(nowNanos - zones.get(zone)).toMillis());
        }
        if (late(servers.get(server), nowNanos)) {
            monitor.recordViolation(
                    Guarantee.G8,
                    "new work for a leaving server",
                    "router",
                    router,
                    "server",
                    server,
                    "sinceMillis",
                    Duration.ofNanos(nowNanos - servers.get(server)).toMillis());
        }
    }

    private static <K> void note(Map<K, Long> since, K key, boolean leaving, long nowNanos) {
        if (leaving) {
            since.putIfAbsent(key, nowNanos);
        } else {
            since.remove(key);
        }
    }

    private static boolean late(Long since, long nowNanos) {
        return since != null && nowNanos - since > LIMIT.toNanos();
    }
}
