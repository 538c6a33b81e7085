package org.coltsfootquay.decision.invariant;

import java.util.Collection;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;

/** G10: at most one router at a time holds a server under a valid lease. */
public final class ExclusiveHolderInvariant {

    private final InvariantMonitor monitor;

    /**
     * Creates the check.
     *
     * @param monitor receiver of violations
     */
    public ExclusiveHolderInvariant(InvariantMonitor monitor) {
        this.monitor = ArgumentUtils.requireValue(monitor, "monitor");
    }

    /**
     * Checks the holders of one server.
     *
     * @param server server
     * @param holders routers that admit work to the server while their lease is valid
     */
    public void check(ServerName server, Collection<RouterId> holders) {
        if (holders.size() > 1) {
            monitor.recordViolation(Guarantee.G10, "several whole holders", "server", server, "routers", holders);
        }
    }
}
