package org.coltsfootquay.router.forward;

import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.hedge.HedgeQuery;
import org.coltsfootquay.decision.hedge.HedgeRefusal;
import org.coltsfootquay.decision.rollout.RolloutPhase;
import org.coltsfootquay.decision.route.ServicePolicy;
import org.coltsfootquay.decision.selection.SelectedServer;
import org.coltsfootquay.decision.selection.SelectionRequest;

/** Collects the state by which a late request is hedged, and selects its second server. */
final class HedgeDecision {

    private HedgeDecision() {}

    /**
     * Decides whether a late request is hedged; if so, its work is taken from the budgets.
     *
     * @param tried servers that the request was sent to
     * @param suspected true if a part of the prompt may crash servers
     * @return second server, or empty if the request is not hedged
     */
    static Optional<SelectedServer> decide(
            ForwardingContext context, RelayedRequest request, Set<ServerName> tried, boolean suspected) {
        ServicePolicy service = request.service();
        long now = context.timers().nowNanos();
        int routers = context.peers().members().size();
        Optional<SelectedServer> choice = context.eligibleServerSelector()
                .select(
                        service,
                        new SelectionRequest(
                                request.metadata().prompt(), request.route().target(), now),
                        tried,
                        context.selector(service),
                        context.peers().members());
        HedgeQuery query = new HedgeQuery(
                service.name(),
                choice.map(SelectedServer::prefillTokens).orElse(0L),
                request.route().isRetryable(),
                tried.size() < request.route().maxAttempts()
                        && request.deadlineNanos() - now > ResponseTimer.MIN_TIMEOUT.toNanos(),
                context.rollouts()
                        .flatMap(rollouts -> rollouts.phase(service.name()))
                        .filter(phase -> phase == RolloutPhase.CANARY || phase == RolloutPhase.SHIFTING)
                        .isPresent(),
                context.eventLoopLag().lagging() || context.waiting().anyWaits(service.name()),
                suspected,
                choice.map(server -> targetState(context, service, server, now)).orElse(HedgeQuery.Target.UNFIT));
        Optional<HedgeRefusal> refusal = context.hedging()
                .orElseThrow()
                .tryAcquire(query, () -> context.retryShare().tryAcquireAboveReserve(service.name(), routers, now));
        refusal.ifPresent(
                reason -> context.metrics().count("coltsfootquay_hedges_refused_total{reason=\"" + reason + "\"}"));
        return refusal.isPresent() ? Optional.empty() : choice;
    }

    private static HedgeQuery.Target targetState(
            ForwardingContext context, ServicePolicy service, SelectedServer server, long now) {
        BackendEntry entry = server.entry();
        if (!context.eligibleServerSelector().isWarmAndReachable(entry, service, now)) {
            return HedgeQuery.Target.UNFIT;
        }
        boolean full = context.loads().totalLoad(entry.server()).requests() >= entry.slots();
        return full || !server.queueWaitTime().isZero() ? HedgeQuery.Target.BUSY : HedgeQuery.Target.FREE;
    }
}
