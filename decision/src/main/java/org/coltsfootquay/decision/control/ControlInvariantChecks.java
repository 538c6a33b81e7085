package org.coltsfootquay.decision.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.configuration.ConfigurationTopic;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.invariant.CapacityShareInvariant;
import org.coltsfootquay.decision.invariant.ConfigurationVersionInvariant;
import org.coltsfootquay.decision.invariant.ExclusiveHolderInvariant;
import org.coltsfootquay.decision.invariant.InvariantMonitor;
import org.coltsfootquay.decision.membership.LeaseState;
import org.coltsfootquay.decision.ownership.OwnedServer;
import org.coltsfootquay.decision.ownership.OwnedServers;
import org.coltsfootquay.decision.ownership.ServerRow;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Checks G3 and G10 as far as one router can on its own, by comparing what it publishes with the stored rows.
 *
 * <p>Runs on the control thread.
 */
final class ControlInvariantChecks {

    private final ControlPlane control;
    private final TimerService timer;
    private final Blackboard blackboard;
    private final RouterId self;
    private final CapacityShareInvariant shares;
    private final ExclusiveHolderInvariant exclusiveHolders;
    private final ConfigurationVersionInvariant configurations;

    ControlInvariantChecks(
            ControlPlane control, TimerService timer, Blackboard blackboard, RouterId self, InvariantMonitor monitor) {
        this.control = control;
        this.timer = timer;
        this.blackboard = blackboard;
        this.self = self;
        ArgumentUtils.requireValue(monitor, "monitor");
        this.shares = new CapacityShareInvariant(monitor);
        this.exclusiveHolders = new ExclusiveHolderInvariant(monitor);
        this.configurations = new ConfigurationVersionInvariant(monitor);
    }

    void start() {
        blackboard.cell(ConfigurationTopic.IN_FORCE).subscribe(this::configurationChanged);
        blackboard.cell(OwnedServers.TOPIC).subscribe(this::ownedChanged);
    }

    private void configurationChanged(FleetConfiguration configuration) {
        configurations.check(
                self.value(), configuration.version(), control.configuration().objectInForce());
    }

    private void ownedChanged(OwnedServers owned) {
        LeaseState lease = blackboard.read(LeaseState.TOPIC);
        boolean confirmed = lease.valid(timer.nowNanos()) && control.watcher().completeAsOf(lease.confirmedNanos());
        for (OwnedServer server : owned.servers()) {
            if (server.admitsWork()) {
                control.watcher()
                        .row(ServerRow.key(server.name()))
                        .ifPresent(row -> check(server, ServerRow.of(row.value()), confirmed));
            }
        }
    }

    private void check(OwnedServer server, ServerRow row, boolean confirmed) {
        if (!server.checksFencing()) {
            Map<RouterId, Double> usedShares = new HashMap<>();
            row.lapsed().forEach(entry -> usedShares.merge(entry.router(), entry.share(), Double::sum));
            usedShares.merge(self, server.share(), Double::sum);
            shares.check(server.name(), usedShares);
        }
        if (confirmed) {
            TreeSet<RouterId> holders = new TreeSet<>(row.holder().stream().toList());
            holders.add(self);
            exclusiveHolders.check(server.name(), holders);
        }
    }
}
