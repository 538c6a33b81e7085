package org.coltsfootquay.decision.invariant;

import java.util.Collection;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;

/** Checks G10: at most one router at a time holds a server under a valid lease. */
public final class ExclusiveHolderInvariant {

    private final InvariantMonitor monitor;

    /**
     * Creates the check.
     *
     * @param monitor monitor that counts and records violations
     */
    public ExclusiveHolderInvariant(InvariantMonitor monitor) {
        this.monitor = ArgumentUtils.requireValue(monitor, "monitor");
    }

    /**
     * Checks the holders of a server.
     *
     * @param server server
     * @param holders routers with a valid lease that admit work to the server
     */
    public void check(ServerName server, Collection<RouterId> holders) {
        if (holders.size() > 1) {
            monitor.recordViolation(
                    Guarantee.G10, "several routers hold the server", "server", server, "routers", holders);
        }
    }
}
