package org.coltsfootquay.decision.invariant;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;

/** Checks G4: a router that has reached neither the store nor any peer for more than 5 s grants no requests. */
public final class IsolatedRouterInvariant {

    private static final Duration MAX_ISOLATION_TIME = Duration.ofSeconds(5);

    private final InvariantMonitor monitor;

    /**
     * Creates the check.
     *
     * @param monitor monitor that counts and records violations
     */
    public IsolatedRouterInvariant(InvariantMonitor monitor) {
        this.monitor = ArgumentUtils.requireValue(monitor, "monitor");
    }

    /**
     * Checks a grant, or that a router is in a state in which it would grant.
     *
     * @param router granting router; it must know other routers
     * @param lastConnectedNanos time at which the router last reached the store or a peer
     * @param nowNanos time of the grant on the same clock
     */
    public void checkGrant(RouterId router, long lastConnectedNanos, long nowNanos) {
        if (nowNanos - lastConnectedNanos > MAX_ISOLATION_TIME.toNanos()) {
            monitor.recordViolation(
                    Guarantee.G4,
                    "request granted while isolated from the store and all peers",
                    "router",
                    router,
                    "sinceMillis",
                    Duration.ofNanos(nowNanos - lastConnectedNanos).toMillis());
        }
    }
}
