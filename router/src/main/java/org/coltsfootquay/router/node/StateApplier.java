package org.coltsfootquay.router.node;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.backend.BackendRegistry;
import org.coltsfootquay.decision.backend.HeldEvacuations;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.rollout.RolloutOrder;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.forward.ForwardingContext;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.state.StateDecoder;
import org.coltsfootquay.router.state.TableListener;
import org.coltsfootquay.router.state.TableRow;
import org.coltsfootquay.router.state.WatchedTable;

/** Applies changes of the store's tables to the forwarding state; runs on the event loop. */
final class StateApplier implements TableListener {

    private static final EventLog LOG = EventLog.of(StateApplier.class);

    private final ForwardingContext forwarding;
    private final StateDecoder decoder;
    private final TimerService timers;
    private final RouterId self;
    private final Runnable onRegistrationMissing;
    private final LongSupplier operatorEra;
    private Set<ZoneName> evacuatedZones = Set.of();
    private final HeldEvacuations heldEvacuations = new HeldEvacuations();
    private Collection<TableRow> operatorRows = List.of();

    /** Revision of the row of the last configuration, valid or not; 0 without one. */
    private long configurationRevision;

    StateApplier(
            ForwardingContext forwarding,
            StateDecoder decoder,
            TimerService timers,
            RouterId self,
            Runnable onRegistrationMissing,
            LongSupplier operatorEra) {
        this.self = self;
        this.onRegistrationMissing = onRegistrationMissing;
        this.operatorEra = operatorEra;
        this.forwarding = forwarding;
        this.decoder = decoder;
        this.timers = timers;
    }

    @Override
    public void tableReplaced(WatchedTable table, Collection<TableRow> rows) {
        switch (table) {
            case OPERATOR -> applyOperator(rows);
            case SERVERS -> {
                List<BackendEntry> entries = rows.stream()
                        .map(decoder::server)
                        .flatMap(Optional::stream)
                        .toList();
                Set<ServerName> before = forwarding.registry().servers();
                forwarding.registry().replaceAll(entries, timers.nowNanos());
                Set<ServerName> removed = new HashSet<>(before);
                removed.removeAll(forwarding.registry().servers());
                removed.forEach(forwarding::discardServerState);
                entries.forEach(forwarding::serverRegistered);
                forwarding.registrationsLoaded();
                LOG.info(
                        "servers_read",
                        "servers",
                        entries.size(),
                        "gone",
                        removed.size(),
                        "kept",
                        forwarding.registry().kept());
            }
            case ROUTERS -> applyRouters(rows);
            default -> throw new IllegalArgumentException("table " + table + " has no handler; add a case for it");
        }
    }

    @Override
    public void rowsChanged(WatchedTable table, List<TableRow> changes, Collection<TableRow> rows) {
        switch (table) {
            case OPERATOR -> applyOperator(rows);
            case SERVERS -> changes.stream().filter(row -> !row.key().isBlank()).forEach(this::applyServer);
            case ROUTERS -> applyRouters(rows);
            default -> throw new IllegalArgumentException("table " + table + " has no handler; add a case for it");
        }
    }

    @Override
    public void storeEraChanged(WatchedTable table) {
        if (table == WatchedTable.OPERATOR) {
            // The new era gives out revisions again, so that an equal one may be of another configuration.
            configurationRevision = 0;
            heldEvacuations.hold(evacuatedZones, timers.nowNanos());
            var unused = timers.scheduleOnce("held evacuations", HeldEvacuations.HOLD_TIME, this::applyEvacuations);
        } else if (table == WatchedTable.SERVERS) {
            forwarding.registry().recordStoreRestored(timers.nowNanos());
        }
    }

    @Override
    public void storeLost() {
        forwarding.registry().recordStoreUnreachable(timers.nowNanos());
    }

    @Override
    public void storeRecovered() {
        forwarding.registry().recordStoreReachable(timers.nowNanos());
    }

    private void applyOperator(Collection<TableRow> rows) {
        decoder.configurationRow(rows)
                .filter(row -> row.revision() != configurationRevision)
                .ifPresent(this::applyConfiguration);
        forwarding.rollouts().ifPresent(rollouts -> rollouts.replaceOrders(rolloutOrders(rows)));
        operatorRows = rows;
        applyEvacuations();
    }

    private List<RolloutOrder> rolloutOrders(Collection<TableRow> rows) {
        return decoder.rollouts(rows).stream()
                .map(order -> order.inEra(operatorEra.getAsLong()))
                .toList();
    }

    private void applyEvacuations() {
        Set<ZoneName> zones = heldEvacuations.apply(decoder.evacuatedZones(operatorRows), timers.nowNanos());
        if (!zones.equals(evacuatedZones)) {
            LOG.info("evacuation_changed", "zones", zones);
            evacuatedZones = zones;
            forwarding.registry().setEvacuatedZones(zones);
        }
    }

    /** Applies a changed configuration; decoding a large one takes long for an event loop. */
    private void applyConfiguration(TableRow row) {
        configurationRevision = row.revision();
        decoder.configuration(row).ifPresent(configuration -> {
            if (forwarding.applyConfiguration(configuration)) {
                LOG.info("configuration_in_force", "version", configuration.version(), "revision", row.revision());
            }
        });
    }

    private void applyServer(TableRow row) {
        BackendRegistry registry = forwarding.registry();
        Optional<BackendEntry> entry = row.deleted() ? Optional.empty() : decoder.server(row);
        if (entry.isEmpty()) {
            ServerName server = new ServerName(row.key());
            registry.remove(server, timers.nowNanos());
            LOG.info(
                    "server_removed",
                    "server",
                    server,
                    "kept",
                    registry.kept().contains(server),
                    "revision",
                    row.revision());
            return;
        }
        boolean newOrRestarted = registry.put(entry.get(), timers.nowNanos());
        if (newOrRestarted) {
            forwarding.discardServerState(entry.get().server());
        }
        forwarding.serverRegistered(entry.get());
        LOG.info(
                "server_changed",
                "server",
                row.key(),
                "service",
                entry.get().service(),
                "leaving",
                entry.get().leaving(),
                "coldMs",
                entry.get().remainingColdTime().toMillis(),
                "new",
                newOrRestarted,
                "revision",
                row.revision());
    }

    private void applyRouters(Collection<TableRow> rows) {
        if (rows.stream().noneMatch(row -> row.key().equals(self.value()))) {
            onRegistrationMissing.run();
        }
        forwarding
                .peers()
                .replaceRegistrations(rows.stream()
                        .map(PeerRouterCodec::decodeRow)
                        .flatMap(Optional::stream)
                        .toList());
    }
}
