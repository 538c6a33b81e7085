package org.coltsfootquay.decision.invariant;

import java.util.Map;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;

/**
 * G3: the shares in use of a server that ignores fencing numbers never add up to more than 1.
 *
 * <p>A router passes the share it uses and those that the server's row leaves to lapsed holders; a simulation passes
 * the shares in use at all routers.
 */
public final class CapacityShareInvariant {

    private static final double ROUNDING = 1e-9;

    private final InvariantMonitor monitor;

    /**
     * Creates the check.
     *
     * @param monitor receiver of violations
     */
    public CapacityShareInvariant(InvariantMonitor monitor) {
        this.monitor = ArgumentUtils.requireValue(monitor, "monitor");
    }

    /**
     * Checks the shares of one server.
     *
     * @param server server that ignores fencing numbers
     * @param shares share by router
     */
    public void check(ServerName server, Map<RouterId, Double> shares) {
        double sum = shares.values().stream().mapToDouble(Double::doubleValue).sum();
        if (sum > 1 + ROUNDING) {
            monitor.recordViolation(Guarantee.G3, "shares exceed 1", "server", server, "shares", shares, "sum", sum);
        }
    }
}
