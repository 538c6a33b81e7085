package org.coltsfootquay.decision.selection;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.backend.BackendRegistry;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.limit.ColdStartLimiter;
import org.coltsfootquay.decision.route.ServicePolicy;

/**
 * Chooses among the servers of a service those that may get a request now, and leaves the pick to a selector.
 *
 * <p>Not thread-safe. Servers that leave or are in an evacuated zone are never chosen. A cold server, or one that may
 * have started again without notice, is chosen only within the bound that all routers share.
 */
public final class EligibleServerSelector {

    private final BackendRegistry registry;
    private final ServerHealth health;
    private final ColdStartLimiter coldLimiter;
    private final double coldOvershoot;
    private final double coldSlack;

    /**
     * Creates a chooser.
     *
     * @param registry registered servers
     * @param health health of servers
     * @param coldLimiter limiter for cold servers
     * @param coldOvershoot factor on the rate that a cold server states
     * @param coldSlack requests a second that a cold server tolerates beyond that
     */
    public EligibleServerSelector(
            BackendRegistry registry,
            ServerHealth health,
            ColdStartLimiter coldLimiter,
            double coldOvershoot,
            double coldSlack) {
        this.registry = ArgumentUtils.requireValue(registry, "registry");
        this.health = ArgumentUtils.requireValue(health, "health");
        this.coldLimiter = ArgumentUtils.requireValue(coldLimiter, "coldLimiter");
        this.coldOvershoot = coldOvershoot;
        this.coldSlack = coldSlack;
    }

    /**
     * Chooses a server.
     *
     * @param service service of the request
     * @param prompt prompt of the request
     * @param tried servers that the request was sent to before; they are chosen only if there is no other
     * @param selector rule that picks among the servers
     * @param routers all registered routers
     * @param nowNanos current time
     * @return the choice, or empty if no server may get the request now
     */
    public Optional<SelectedServer> select(
            ServicePolicy service,
            Prompt prompt,
            Set<ServerName> tried,
            ServerSelector selector,
            List<RouterId> routers,
            long nowNanos) {
        List<BackendEntry> usable = new ArrayList<>(registry.eligible(service.name(), nowNanos));
        usable.removeIf(entry -> tried.contains(entry.server()));
        List<BackendEntry> allowed = usable.stream()
                .filter(entry -> !cold(entry, service, nowNanos)
                        || coldLimiter.maySend(entry.server(), coldBound(service), routers, nowNanos))
                .toList();
        List<BackendEntry> healthy = allowed.stream()
                .filter(entry -> !health.isAvoided(entry.server(), nowNanos))
                .toList();
        return selector.select(healthy.isEmpty() ? allowed : healthy, prompt);
    }

    /**
     * Takes the right to send to a server at the moment of the send.
     *
     * @param entry server
     * @param service service
     * @param routers all registered routers
     * @param nowNanos current time
     * @return false if the server may not get the request any more
     */
    public boolean tryAcquire(BackendEntry entry, ServicePolicy service, List<RouterId> routers, long nowNanos) {
        if (registry.eligible(entry.server(), nowNanos).isEmpty()) {
            return false;
        }
        if (cold(entry, service, nowNanos)) {
            if (!coldLimiter.maySend(entry.server(), coldBound(service), routers, nowNanos)) {
                return false;
            }
            coldLimiter.recordSent(entry.server(), nowNanos);
        }
        return true;
    }

    private boolean cold(BackendEntry entry, ServicePolicy service, long nowNanos) {
        return service.coldRatePerSecond() > 0
                && (nowNanos < registry.coldUntilNanos(entry.server())
                        || health.mayBeCold(entry.server(), service.coldDuration(), nowNanos));
    }

    private double coldBound(ServicePolicy service) {
        return service.coldRatePerSecond() * coldOvershoot + coldSlack;
    }
}
