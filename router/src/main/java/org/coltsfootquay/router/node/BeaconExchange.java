package org.coltsfootquay.router.node;

import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.coltsfootquay.decision.admission.Demand;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.peer.LagMonitor;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.decision.selection.ServerLoad;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.protocol.generated.peer.BeaconDemand;
import org.coltsfootquay.protocol.generated.peer.BeaconLoad;
import org.coltsfootquay.protocol.generated.peer.BeaconRead;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.forward.PromptCacheUpdate;
import org.coltsfootquay.router.forward.ForwardingContext;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.neighbor.TableCopyExchange;
import org.coltsfootquay.router.state.TableWatcher;
import org.coltsfootquay.router.state.WatchedTable;

/** Sends this router's beacons and acts on those of others; runs on the event loop. */
final class BeaconExchange {

    private static final EventLog LOG = EventLog.of(BeaconExchange.class);

    private final PeerRouter self;
    private final long incarnation;
    private final List<InetSocketAddress> seeds;
    private final ForwardingContext forwarding;
    private final TableWatcher watcher;
    private final TableCopyExchange copyExchange;
    private final CacheViewBootstrap cacheBootstrap;
    private final TimerService timers;
    private final BooleanSupplier ready;

    /** Addresses of peers, parsed once; a large fleet sends hundreds of datagrams a second. */
    private final Map<PeerRouter, InetSocketAddress> addresses = new HashMap<>();

    private final Map<RouterId, LastBeacon> lastBeacons = new HashMap<>();
    private final Map<Long, RouterId> routersByIncarnation = new HashMap<>();
    private final Map<WatchedTable, LagMonitor> lagMonitors = new EnumMap<>(WatchedTable.class);
    private final Map<WatchedTable, Boolean> fetchesInProgress = new EnumMap<>(WatchedTable.class);
    private long sequence;

    BeaconExchange(
            PeerRouter self,
            long incarnation,
            List<String> seeds,
            ForwardingContext forwarding,
            TableWatcher watcher,
            TableCopyExchange copies,
            CacheViewBootstrap caches,
            TimerService timers,
            BooleanSupplier ready) {
        this.self = self;
        this.incarnation = incarnation;
        this.seeds = seeds.stream()
                .map(ChannelUtils::parseAddress)
                .map(address -> new InetSocketAddress(address.getAddress(), self.peerPort()))
                .filter(address -> !address.getAddress().getHostAddress().equals(self.host()))
                .toList();
        this.forwarding = forwarding;
        this.watcher = watcher;
        this.copyExchange = copies;
        this.cacheBootstrap = caches;
        this.timers = timers;
        this.ready = ready;
    }

    /** Sends a beacon to every known router, and to the seeds while none is known. */
    void send(BeaconSender channel) {
        for (RouterId silent : forwarding.peers().removeSilent(timers.nowNanos())) {
            LOG.warn("router_lost", "router", silent);
            forwarding.loads().removePeer(silent);
            forwarding.demands().removePeer(silent);
            LastBeacon life = lastBeacons.remove(silent);
            if (life != null) {
                routersByIncarnation.remove(life.incarnation);
            }
        }
        Beacon.Builder beacon = PeerRouterCodec.convert(self)
                .setIncarnation(incarnation)
                .setSequence(sequence++)
                .setReady(ready.getAsBoolean())
                .setJoining(cacheBootstrap.isJoining());
        for (WatchedTable table : WatchedTable.values()) {
            beacon.addTableRevisions(watcher.mirror(table).changeRevision());
        }
        // A full beacon states all loads, so the next update starts from here.
        forwarding.loads().takeChanged();
        addLoads(beacon, forwarding.loads().localLoad());
        addNewCacheReads(beacon);
        forwarding
                .demands()
                .localDemands(timers.nowNanos())
                .forEach((service, demands) ->
                        demands.forEach((workspace, demand) -> beacon.addDemands(BeaconDemand.newBuilder()
                                .setService(service.value())
                                .setWorkspace(workspace.value())
                                .setAsked((long) demand.requestedTokens())
                                .setSent((long) demand.dispatchedTokens()))));
        byte[] bytes = beacon.build().toByteArray();
        if (!sendToPeers(channel, bytes)) {
            seeds.forEach(seed -> channel.send(bytes, seed));
        }
    }

    /**
     * Sends what has changed since the last beacon, if anything did.
     *
     * <p>The choice of a server depends on what the other routers have sent to it within the last parts of a second;
     * everything else may be as old as a beacon of a large fleet.
     */
    void sendUpdate(BeaconSender channel) {
        Map<ServerName, ServerLoad> changed = forwarding.loads().takeChanged();
        if (changed.isEmpty()) {
            return;
        }
        Beacon.Builder beacon =
                Beacon.newBuilder().setUpdate(true).setIncarnation(incarnation).setSequence(sequence++);
        addLoads(beacon, changed);
        addNewCacheReads(beacon);
        sendToPeers(channel, beacon.build().toByteArray());
    }

    private boolean sendToPeers(BeaconSender channel, byte[] bytes) {
        List<PeerRouter> targets = forwarding.peers().beaconTargets();
        addresses.keySet().retainAll(Set.copyOf(targets));
        for (PeerRouter target : targets) {
            channel.send(bytes, addresses.computeIfAbsent(target, BeaconExchange::address));
        }
        return !targets.isEmpty();
    }

    private static InetSocketAddress address(PeerRouter peer) {
        return new InetSocketAddress(peer.host(), peer.peerPort());
    }

    private static void addLoads(Beacon.Builder beacon, Map<ServerName, ServerLoad> loads) {
        loads.forEach((server, load) -> beacon.addLoads(BeaconLoad.newBuilder()
                .setServer(server.value())
                .setRequests(load.requests())
                .setUnreadTokens(load.unreadTokens())
                .setHeldTokens(load.heldTokens())));
    }

    private void addNewCacheReads(Beacon.Builder beacon) {
        for (PromptCacheUpdate read : forwarding.takePromptCacheUpdates()) {
            beacon.addReads(BeaconRead.newBuilder()
                    .setServer(read.server().value())
                    .setSharedKey(read.sharedKey())
                    .setTokens(read.tokens()));
        }
    }

    /** Takes a beacon of another router. */
    void receive(Beacon beacon) {
        if (beacon.getUpdate()) {
            receiveUpdate(beacon);
            return;
        }
        Optional<PeerRouter> card = PeerRouterCodec.convert(beacon);
        if (card.isEmpty() || card.get().id().equals(self.id())) {
            return;
        }
        PeerRouter peer = card.get();
        LastBeacon life = lastBeacons.get(peer.id());
        if (life != null && life.incarnation == beacon.getIncarnation() && beacon.getSequence() <= life.sequence) {
            return;
        }
        if (life == null || life.incarnation != beacon.getIncarnation()) {
            LOG.info("router_heard", "router", peer.id(), "incarnation", Long.toHexString(beacon.getIncarnation()));
        }
        if (life != null) {
            routersByIncarnation.remove(life.incarnation);
        }
        lastBeacons.put(peer.id(), new LastBeacon(beacon.getIncarnation(), beacon.getSequence()));
        routersByIncarnation.put(beacon.getIncarnation(), peer.id());
        forwarding.peers().recordBeacon(peer, beacon.getReady(), timers.nowNanos());
        cacheBootstrap.beaconReceived(peer, beacon.getJoining());
        forwarding.loads().replacePeerReport(peer.id(), loads(beacon));
        recordCacheReads(beacon);
        Map<ServiceName, Map<WorkspaceId, Demand>> demands = new HashMap<>();
        for (BeaconDemand demand : beacon.getDemandsList()) {
            if (!demand.getService().isEmpty() && !demand.getWorkspace().isEmpty()) {
                demands.computeIfAbsent(new ServiceName(demand.getService()), name -> new HashMap<>())
                        .put(new WorkspaceId(demand.getWorkspace()), new Demand(demand.getAsked(), demand.getSent()));
            }
        }
        forwarding.demands().replacePeerReport(peer.id(), demands);
        for (WatchedTable table : WatchedTable.values()) {
            if (table.number() < beacon.getTableRevisionsCount()) {
                compareRevision(peer, table, beacon.getTableRevisions(table.number()));
            }
        }
    }

    /** Takes an update; one of an unknown life is left out, since a full beacon follows within a second. */
    private void receiveUpdate(Beacon beacon) {
        RouterId peer = routersByIncarnation.get(beacon.getIncarnation());
        if (peer == null || beacon.getSequence() <= lastBeacons.get(peer).sequence) {
            return;
        }
        lastBeacons.put(peer, new LastBeacon(beacon.getIncarnation(), beacon.getSequence()));
        forwarding.loads().updatePeerLoads(peer, loads(beacon));
        recordCacheReads(beacon);
    }

    private static Map<ServerName, ServerLoad> loads(Beacon beacon) {
        Map<ServerName, ServerLoad> loads = new HashMap<>();
        for (BeaconLoad load : beacon.getLoadsList()) {
            if (!load.getServer().isEmpty()) {
                loads.put(
                        new ServerName(load.getServer()),
                        new ServerLoad(load.getRequests(), load.getUnreadTokens(), load.getHeldTokens()));
            }
        }
        return loads;
    }

    private void recordCacheReads(Beacon beacon) {
        for (BeaconRead read : beacon.getReadsList()) {
            if (!read.getServer().isEmpty()) {
                forwarding.recordPromptCacheUpdate(
                        new PromptCacheUpdate(new ServerName(read.getServer()), read.getSharedKey(), read.getTokens()));
            }
        }
    }

    private void compareRevision(PeerRouter peer, WatchedTable table, long theirs) {
        long ours = watcher.mirror(table).revision();
        if (table == WatchedTable.ROUTERS && ours > 0) {
            // Later registrations are learned from beacons.
            return;
        }
        boolean ask = lagMonitors.computeIfAbsent(table, name -> new LagMonitor())
                .recordPeerRevision(theirs, ours, watcher.changeDelay(table), timers.nowNanos());
        if (ask && !fetchesInProgress.getOrDefault(table, false)) {
            fetchesInProgress.put(table, true);
            copyExchange.fetch(peer, table, () -> fetchesInProgress.put(table, false));
        }
    }

    private record LastBeacon(long incarnation, long sequence) {}
}
