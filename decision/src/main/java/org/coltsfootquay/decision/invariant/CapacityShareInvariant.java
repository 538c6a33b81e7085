package org.coltsfootquay.decision.invariant;

import java.util.Map;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Checks G3: the sum of the shares in use of a server that does not check fencing numbers never exceeds 1.
 *
 * <p>A router passes the share that it uses and the shares that the row of the server leaves to holders with a lapsed
 * lease; a simulation passes the shares in use at all routers.
 */
public final class CapacityShareInvariant {

    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final InvariantMonitor monitor;

    /**
     * Creates the check.
     *
     * @param monitor monitor that counts and records violations
     */
    public CapacityShareInvariant(InvariantMonitor monitor) {
        this.monitor = ArgumentUtils.requireValue(monitor, "monitor");
    }

    /**
     * Checks the sum of the shares of a server.
     *
     * @param server server that does not check fencing numbers
     * @param shares share of each router
     */
    public void check(ServerName server, Map<RouterId, Double> shares) {
        double sum = shares.values().stream().mapToDouble(Double::doubleValue).sum();
        if (sum > 1 + ROUNDING_TOLERANCE) {
            monitor.recordViolation(
                    Guarantee.G3, "sum of capacity shares exceeds 1", "server", server, "shares", shares, "sum", sum);
        }
    }
}
