package org.coltsfootquay.cli.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.dispatch.DispatchAction;
import org.coltsfootquay.decision.dispatch.DispatchEvent;
import org.coltsfootquay.decision.dispatch.EndReport;
import org.coltsfootquay.decision.dispatch.ProbeTargetSelector;
import org.coltsfootquay.decision.dispatch.QueuedRequest;
import org.coltsfootquay.decision.dispatch.RefusalCode;
import org.coltsfootquay.decision.dispatch.ServiceDispatcher;
import org.coltsfootquay.decision.fairness.AggregationNode;
import org.coltsfootquay.decision.fairness.FleetTotals;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.ownership.OwnedServer;
import org.coltsfootquay.decision.placement.PowerOfTwoChoicesSelector;

/** Router of a measurement: real dispatcher, aggregation and placement; a short stand-in for the entry side. */
final class SimRouter {

    private static final Duration LOAD_PERIOD = Duration.ofSeconds(1);
    private static final Duration RETRY = Duration.ofMillis(250);

    final RouterId id;
    final int zone;
    final SimFleet fleet;
    final ServiceDispatcher dispatcher;
    final AggregationNode node;
    final PowerOfTwoChoicesSelector selector;
    final ControlMeter meter = new ControlMeter();
    final List<FakeEngine> engines = new ArrayList<>();
    private final ProbeTargetSelector probes;
    private final Map<SimRequest, Boolean> streams = new LinkedHashMap<>();
    private double share = 1;
    private boolean admitting = true;
    private ServiceTotals totals = ServiceTotals.TOPIC.initialValue();

    SimRouter(SimFleet fleet, RouterId id, int zone, ServiceDispatcher dispatcher, long seed) {
        this.fleet = fleet;
        this.id = id;
        this.zone = zone;
        this.dispatcher = dispatcher;
        this.node = new AggregationNode(id, 1);
        this.probes = new ProbeTargetSelector(SimFleet.SERVICE, id, seed);
        this.selector =
                new PowerOfTwoChoicesSelector(fleet.zoneName(zone), fleet::ownerMap, fleet::membership, seed ^ 0x5DEECE66DL);
    }

    void begin() {
        owns();
        handle(new DispatchEvent.ConfigurationChanged(fleet.configuration()));
        fleet.timers.schedulePeriodic("progress " + id, Duration.ofSeconds(1), this::reportProgress);
        fleet.timers.schedulePeriodic("load " + id, LOAD_PERIOD, this::reportLoads);
        if (!fleet.central()) {
            fleet.timers.schedulePeriodic("tree " + id, Duration.ofMillis(50), this::tickTree);
            fleet.timers.schedulePeriodic("probe " + id, ProbeTargetSelector.PERIOD, this::probe);
        }
    }

    void share(double part) {
        share = part;
        owns();
    }

    void admitting(boolean allowed) {
        admitting = allowed;
        owns();
    }

    boolean admitsWork() {
        return admitting && !engines.isEmpty();
    }

    void owns() {
        List<OwnedServer> owned = engines.stream()
                .map(engine -> new OwnedServer(
                        engine.name,
                        SimFleet.SERVICE,
                        org.coltsfootquay.decision.configuration.ServiceKind.MODEL,
                        "127.0.0.1:1",
                        1,
                        share,
                        admitting && !fleet.zoneLeaving(engine.zone),
                        true,
                        false))
                .toList();
        handle(new DispatchEvent.ServersChanged(owned));
    }

    /** Passes an event to the dispatcher and its actions to the entry routers. */
    void handle(DispatchEvent event) {
        List<DispatchAction> actions = meter.timed(() -> dispatcher.handle(event, fleet.now()));
        for (DispatchAction action : actions) {
            if (action instanceof DispatchAction.Granted granted) {
                fleet.granted(this, granted.server().name());
            }
            SimRequest request = fleet.request(action.attempt());
            if (request != null) {
                fleet.deliver(() -> request.entry.receive(request, action, this));
            }
        }
    }

    void tick() {
        handle(new DispatchEvent.Ticked());
    }

    void submit(SimRequest request, Set<RouterId> excluded) {
        Optional<SimRouter> owner = fleet.central()
                ? Optional.of(this)
                : selector.select(SimFleet.SERVICE, request.prefixHashes, excluded, fleet.now())
                        .map(fleet::router);
        if (owner.isEmpty()) {
            fleet.deliverAfter(RETRY, () -> submit(request, Set.of()));
            return;
        }
        enqueue(request, owner.get());
    }

    private void enqueue(SimRequest request, SimRouter owner) {
        request.owner = owner;
        long deadline = request.createdNanos + request.classOfWork.firstToken.toNanos();
        long patience = request.createdNanos + request.classOfWork.patience.toNanos();
        int expected = Math.max(1, request.classOfWork.expectedOutput() - (int) request.tokens);
        QueuedRequest queued = new QueuedRequest(
                request.attempt,
                id,
                request.workspaceId(),
                SimFleet.SERVICE,
                request.classOfWork.className(),
                request.input,
                (long) SimRequest.OUTPUT_UNITS * expected,
                deadline,
                patience,
                request.prefixHashes,
                Set.of(),
                request.resumed);
        fleet.deliver(() -> owner.handle(new DispatchEvent.Submitted(queued)));
    }

    private void receive(SimRequest request, DispatchAction action, SimRouter owner) {
        if (!action.attempt().equals(request.attempt)) {
            return;
        }
        if (action instanceof DispatchAction.Granted granted) {
            selector.recordWaitTime(SimFleet.SERVICE, owner.id, granted.estimatedWait(), fleet.now());
            selector.recordPrefixServed(granted.server().name(), request.prefixHashes);
            send(request, fleet.engine(granted.server().name()), owner);
        } else if (action instanceof DispatchAction.Queued queued) {
            selector.recordWaitTime(SimFleet.SERVICE, owner.id, queued.estimatedWait(), fleet.now());
        } else if (action instanceof DispatchAction.Redirected redirected) {
            enqueue(request, fleet.router(redirected.owner()));
        } else if (action instanceof DispatchAction.Refused refused) {
            if (refused.code() == RefusalCode.NOT_OWNER || refused.code() == RefusalCode.STOPPING) {
                submit(request, Set.of(owner.id));
            } else {
                fleet.refused(request, refused.retryAfter());
            }
        } else if (action instanceof DispatchAction.Preempted) {
            interrupt(request, EndReport.Outcome.CANCELLED);
            fleet.preempted();
        }
    }

    private void send(SimRequest request, FakeEngine engine, SimRouter owner) {
        if (fleet.zoneLeaving(engine.zone) && !fleet.central()) {
            fleet.deliver(() -> owner.handle(new DispatchEvent.Withdrawn(request.attempt)));
            submit(request, Set.of(owner.id));
            return;
        }
        request.engine = engine;
        request.sentNanos = fleet.now();
        request.beginAttempt();
        streams.put(request, true);
        fleet.deliver(() -> owner.handle(new DispatchEvent.SendStarted(request.attempt)));
        fleet.deliver(() -> engine.start(request, fleet.now()));
    }

    /** A stream was cancelled or its engine failed; the rest is queued again. */
    void interrupt(SimRequest request, EndReport.Outcome outcome) {
        if (streams.remove(request) == null) {
            return;
        }
        request.engine.cancel(request);
        reportEnd(request, outcome);
        fleet.forget(request);
        request.attempt = request.attempt.next();
        request.resumed = true;
        fleet.remember(request);
        submit(request, Set.of());
    }

    void completed(SimRequest request) {
        streams.remove(request);
        reportEnd(request, EndReport.Outcome.COMPLETED);
    }

    private void reportEnd(SimRequest request, EndReport.Outcome outcome) {
        SimRouter owner = request.owner;
        long now = fleet.now();
        long firstToken = request.attemptFirstTokenNanos == 0 ? now : request.attemptFirstTokenNanos;
        DispatchEvent.Ended ended = new DispatchEvent.Ended(
                request.attempt,
                new EndReport(
                        outcome,
                        request.attemptUnits(),
                        (int) ((firstToken - request.sentNanos) / 1_000_000),
                        (int) Math.round(request.worstIntervalMillis),
                        (now - request.sentNanos) / 1_000_000));
        fleet.deliver(() -> owner.handle(ended));
    }

    private void reportProgress() {
        for (SimRequest request : streams.keySet()) {
            long units = request.attemptUnits();
            if (units > request.reportedUnits) {
                SimRouter owner = request.owner;
                DispatchEvent.Progressed progressed = new DispatchEvent.Progressed(
                        request.attempt, units - request.reportedUnits, (int) Math.round(request.worstIntervalMillis));
                request.reportedUnits = units;
                request.worstIntervalMillis = 0;
                fleet.deliver(() -> owner.handle(progressed));
            }
        }
    }

    private void reportLoads() {
        for (FakeEngine engine : engines) {
            fleet.reportLoad(this, engine);
        }
    }

    private void tickTree() {
        if (fleet.totalsStopped()) {
            return;
        }
        AggregationNode.Output output = meter.timed(() -> {
            if (node.isDue(fleet.now())) {
                ServiceTotals.OwnerLoad load = dispatcher.load(fleet.now());
                node.recordUsage(
                        dispatcher.drainUsage(),
                        engines.isEmpty() ? Map.of() : Map.of(SimFleet.SERVICE, List.of(load)),
                        fleet.now());
            }
            return node.tick(fleet.now());
        });
        output.report().ifPresent(report -> {
            SimRouter parent = fleet.router(output.parent().orElseThrow());
            meter.sent(report);
            fleet.deliver(() -> parent.meter.timed(() -> {
                parent.node.receive(id, report, fleet.now());
                return null;
            }));
        });
        sendTotals(output.totals());
        if (node.isRoot()) {
            publishTotals();
        }
    }

    private void sendTotals(Map<RouterId, FleetTotals> byChild) {
        byChild.forEach((child, sent) -> {
            meter.sent(sent);
            SimRouter target = fleet.router(child);
            fleet.deliver(() -> target.takeTotals(id, sent));
        });
    }

    private void takeTotals(RouterId sender, FleetTotals received) {
        sendTotals(meter.timed(() -> node.receive(sender, received, fleet.now())));
        publishTotals();
    }

    private void publishTotals() {
        if (node.totals().version() != totals.version()) {
            totals = meter.timed(node::serviceTotals);
            handle(new DispatchEvent.TotalsChanged(totals));
        }
    }

    /** Age of the totals that the dispatcher works with. */
    long totalsAgeNanos() {
        ServiceTotals.Totals own = totals.byService().get(SimFleet.SERVICE);
        return own == null ? 0 : fleet.now() - own.asOfNanos();
    }

    private void probe() {
        if (engines.isEmpty() || !admitting) {
            return;
        }
        ServiceTotals.OwnerLoad own = dispatcher.load(fleet.now());
        probes.select(own, totals, fleet.owners()).ifPresent(target -> {
            SimRouter other = fleet.router(target);
            meter.sentProbe(SimFleet.SERVICE.value(), own);
            fleet.deliver(() -> {
                ServiceTotals.OwnerLoad reply = other.dispatcher.load(fleet.now());
                other.meter.sentProbe(SimFleet.SERVICE.value(), reply);
                if (own.freeSlots() > 0) {
                    other.handle(new DispatchEvent.IdleOwnerFound(id, own.freeSlots()));
                } else if (reply.freeSlots() > 0) {
                    fleet.deliver(() -> handle(new DispatchEvent.IdleOwnerFound(other.id, reply.freeSlots())));
                }
            });
        });
    }
}
