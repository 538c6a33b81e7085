package org.coltsfootquay.decision.invariant;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;

/** G4: a router cut off from both the store and its peers grants nothing 5 s after it lost contact. */
public final class IsolatedRouterInvariant {

    private static final Duration LIMIT = Duration.ofSeconds(5);

    private final InvariantMonitor monitor;

    /**
     * Creates the check.
     *
     * @param monitor receiver of violations
     */
    public IsolatedRouterInvariant(InvariantMonitor monitor) {
        this.monitor = ArgumentUtils.requireValue(monitor, "monitor");
    }

    /**
     * Checks a grant, or that a router would grant.
     *
     * @param router granting router, which knows other routers
     * @param lastContactNanos time of the last contact with the store or a peer
     * @param nowNanos time of the grant by the same clock
     */
    public void checkGrant(RouterId router, long lastContactNanos, long nowNanos) {
        if (nowNanos - lastContactNanos > LIMIT.toNanos()) {
            monitor.recordViolation(
                    Guarantee.G4,
                    "new work without contact",
                    "router",
                    router,
                    "sinceMillis",
                    Duration.ofNanos(nowNanos - lastContactNanos).toMillis());
        }
    }
}
