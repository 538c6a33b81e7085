package org.coltsfootquay.decision.dispatch;

import java.util.List;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.ownership.OwnedServer;

/** Input of a dispatcher. */
public sealed interface DispatchEvent {

    /**
     * A request arrived at the owner.
     *
     * @param request request
     */
    record Submitted(QueuedRequest request) implements DispatchEvent {}

    /**
     * The entry router takes an attempt back: the caller went away, or the grant was not used. Nothing was sent.
     *
     * @param attempt attempt
     */
    record Withdrawn(RequestAttempt attempt) implements DispatchEvent {}

    /**
     * The entry router began to send a granted request.
     *
     * @param attempt attempt
     */
    record SendStarted(RequestAttempt attempt) implements DispatchEvent {}

    /**
     * A request in flight produced output.
     *
     * @param attempt attempt
     * @param units service units since the last report, not negative
     * @param worstTokenIntervalMillis longest time between tokens since the last report
     */
    record Progressed(RequestAttempt attempt, long units, int worstTokenIntervalMillis) implements DispatchEvent {}

    /**
     * An attempt ended after its grant.
     *
     * @param attempt attempt
     * @param report what happened
     */
    record Ended(RequestAttempt attempt, EndReport report) implements DispatchEvent {}

    /**
     * The connection to an entry router was lost; its waiting requests are dropped.
     *
     * @param entryRouter router
     */
    record EntryRouterLost(RouterId entryRouter) implements DispatchEvent {}

    /**
     * The servers of this service that the router owns; replaces the former list.
     *
     * @param servers owned servers
     */
    record ServersChanged(List<OwnedServer> servers) implements DispatchEvent {}

    /**
     * A new configuration version came into force.
     *
     * @param configuration configuration
     */
    record ConfigurationChanged(FleetConfiguration configuration) implements DispatchEvent {}

    /**
     * A server reported its load.
     *
     * @param server server
     * @param report load
     */
    record LoadReported(ServerName server, LoadReport report) implements DispatchEvent {}

    /**
     * Requests in flight that a former owner granted.
     *
     * @param server server
     * @param requests requests
     */
    record InFlightReported(ServerName server, List<InFlightEntry> requests) implements DispatchEvent {}

    /**
     * The former owner of a server handed it over in a planned way.
     *
     * @param state limit and requests in flight
     */
    record HandedOver(HandoverState state) implements DispatchEvent {}

    /**
     * New fleet totals arrived.
     *
     * @param totals totals
     */
    record TotalsChanged(ServiceTotals totals) implements DispatchEvent {}

    /**
     * Another owner of the service has free slots and no queue.
     *
     * @param router owner
     * @param freeSlots requests it can start now
     */
    record IdleOwnerFound(RouterId router, int freeSlots) implements DispatchEvent {}

    /** The router began its planned stop: no new requests are queued, waiting ones are redirected or refused. */
    record ShutdownStarted() implements DispatchEvent {}

    /** Time passed; sent at least every 20 ms while requests wait. */
    record Ticked() implements DispatchEvent {}
}
