package org.coltsfootquay.decision.selection;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.backend.BackendRegistry;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.limit.ColdStartLimiter;
import org.coltsfootquay.decision.notice.ServerNotices;
import org.coltsfootquay.decision.route.ServicePolicy;

/**
 * Filters the servers of a service to those that may get a request now, and delegates the selection among them.
 *
 * <p>Not thread-safe. Servers that are leaving, pause or are in an evacuated zone are never selected. A cold server, or
 * one that may have restarted unnoticed, is selected only within the rate limit that all routers share.
 */
public final class EligibleServerSelector {

    private final BackendRegistry registry;
    private final ServerHealth health;
    private final ServerNotices notices;
    private final ColdStartLimiter coldLimiter;
    private final double coldRateFactor;
    private final double coldRateAllowance;
    private VersionPolicy versions = VersionPolicy.ALL;

    /**
     * Creates a selector.
     *
     * @param registry registered servers
     * @param health health of servers
     * @param notices what servers have said of themselves
     * @param coldLimiter limiter for cold servers
     * @param coldRateFactor factor applied to the configured request rate of cold servers
     * @param coldRateAllowance requests per second that a cold server tolerates beyond that rate
     */
    public EligibleServerSelector(
            BackendRegistry registry,
            ServerHealth health,
            ServerNotices notices,
            ColdStartLimiter coldLimiter,
            double coldRateFactor,
            double coldRateAllowance) {
        this.registry = ArgumentUtils.requireValue(registry, "registry");
        this.health = ArgumentUtils.requireValue(health, "health");
        this.notices = ArgumentUtils.requireValue(notices, "notices");
        this.coldLimiter = ArgumentUtils.requireValue(coldLimiter, "coldLimiter");
        this.coldRateFactor = coldRateFactor;
        this.coldRateAllowance = coldRateAllowance;
    }

    /**
     * Sets the policy that decides which versions of servers may get requests.
     *
     * @param policy policy
     */
    public void setVersionPolicy(VersionPolicy policy) {
        versions = ArgumentUtils.requireValue(policy, "policy");
    }

    /**
     * Selects a server.
     *
     * @param service service of the request
     * @param request request
     * @param tried servers that the request was sent to before; they are never selected
     * @param selector selector among the eligible servers
     * @param routers all registered routers
     * @return the selected server, or empty if no server may get the request now
     */
    public Optional<SelectedServer> select(
            ServicePolicy service,
            SelectionRequest request,
            Set<ServerName> tried,
            ServerSelector selector,
            List<RouterId> routers) {
        long nowNanos = request.nowNanos();
        List<BackendEntry> eligible = new ArrayList<>(registry.eligible(service.name(), nowNanos));
        eligible.removeIf(entry -> tried.contains(entry.server()) || !notices.maySend(entry, nowNanos));
        return versions.groups(service.name(), eligible, nowNanos).stream()
                .flatMap(group -> selectAmong(group, service, request, selector, routers).stream())
                .findFirst();
    }

    private Optional<SelectedServer> selectAmong(
            List<BackendEntry> eligible,
            ServicePolicy service,
            SelectionRequest request,
            ServerSelector selector,
            List<RouterId> routers) {
        long nowNanos = request.nowNanos();
        List<BackendEntry> allowed = eligible.stream()
                .filter(entry -> !isCold(entry, service, nowNanos)
                        || coldLimiter.maySend(entry.server(), coldRateLimit(service), routers, nowNanos))
                .toList();
        List<BackendEntry> healthy = allowed.stream()
                .filter(entry -> !health.isAvoided(entry.server(), nowNanos))
                .toList();
        return selector.select(healthy.isEmpty() ? allowed : healthy, request);
    }

    /**
     * Rechecks at the time of dispatch that a server may get a request, and counts it against the cold-start limit.
     *
     * @param entry server
     * @param service service
     * @param routers all registered routers
     * @param nowNanos current time
     * @return false if the server may no longer get the request, or has restarted since it was selected
     */
    public boolean tryAcquire(BackendEntry entry, ServicePolicy service, List<RouterId> routers, long nowNanos) {
        Optional<BackendEntry> current =
                registry.eligible(entry.server(), nowNanos).filter(entry::isSameIncarnation);
        if (current.isEmpty() || !notices.maySend(current.get(), nowNanos)) {
            return false;
        }
        boolean cold = isCold(entry, service, nowNanos);
        if (cold && !coldLimiter.maySend(entry.server(), coldRateLimit(service), routers, nowNanos)) {
            return false;
        }
        if (!versions.trySend(current.get(), nowNanos)) {
            return false;
        }
        if (cold) {
            coldLimiter.recordSent(entry.server(), nowNanos);
        }
        notices.recordSent(current.get(), nowNanos);
        return true;
    }

    /**
     * Returns whether a server is neither cold nor avoided.
     *
     * @param entry server
     * @param service service
     * @param nowNanos current time
     * @return true if it is expected to answer at its usual speed
     */
    public boolean isWarmAndReachable(BackendEntry entry, ServicePolicy service, long nowNanos) {
        return !isCold(entry, service, nowNanos) && !health.isAvoided(entry.server(), nowNanos);
    }

    /**
     * Returns the time until the first pause of a server of a service ends.
     *
     * @param service service
     * @param nowNanos current time
     * @return time, or empty if no server pauses that may get requests later
     */
    public Optional<Duration> firstPauseEnd(ServiceName service, long nowNanos) {
        return registry.eligible(service, nowNanos).stream()
                .filter(entry -> !notices.isLeaving(entry))
                .map(entry -> notices.remainingPause(entry, nowNanos))
                .filter(pause -> !pause.isZero())
                .min(Comparator.naturalOrder());
    }

    private boolean isCold(BackendEntry entry, ServicePolicy service, long nowNanos) {
        return service.coldRatePerSecond() > 0
                && (nowNanos < registry.coldUntilNanos(entry.server())
                        || health.mayBeCold(entry.server(), service.coldDuration(), nowNanos));
    }

    private double coldRateLimit(ServicePolicy service) {
        return service.coldRatePerSecond() * coldRateFactor + coldRateAllowance;
    }
}
