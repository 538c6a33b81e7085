package org.coltsfootquay.router.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.coltsfootquay.decision.admission.Demand;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.exchange.UpdateOrder;
import org.coltsfootquay.decision.latency.FirstEventObservation;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.decision.peer.TableState;
import org.coltsfootquay.decision.selection.ServerLoad;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.protocol.generated.peer.BeaconDemand;
import org.coltsfootquay.protocol.generated.peer.BeaconLoad;
import org.coltsfootquay.protocol.generated.peer.BeaconRead;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.forward.ForwardingContext;
import org.coltsfootquay.router.forward.PromptCacheUpdate;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.neighbor.CopyCoordinator;
import org.coltsfootquay.router.neighbor.CopyTransport;
import org.coltsfootquay.router.neighbor.RemovalConfirmation;
import org.coltsfootquay.router.state.TableMirror;
import org.coltsfootquay.router.state.TableWatcher;
import org.coltsfootquay.router.state.WatchedTable;

/** Sends the beacons of this router and processes those of other routers; runs on the event loop. */
final class BeaconExchange {

    private static final EventLog LOG = EventLog.of(BeaconExchange.class);

    private final PeerRouter self;
    private final long incarnation;
    private final List<InetSocketAddress> seeds;
    private final ForwardingContext forwarding;
    private final TableWatcher watcher;
    private final CopyCoordinator copies;
    private final RemovalConfirmation removalConfirmation;
    private final CacheViewBootstrap cacheBootstrap;
    private final TimerService timers;
    private final BooleanSupplier ready;
    private BiConsumer<RouterId, Boolean> contactListener = (router, unbroken) -> {};

    private final UpdateRelay relay;

    /** Targets of the previous datagram and their parsed addresses; a large fleet sends hundreds per second. */
    private List<PeerRouter> targets = List.of();

    private List<InetSocketAddress> addresses = List.of();

    private final Map<RouterId, LastBeacon> lastBeacons = new HashMap<>();
    private final Map<Long, RouterId> routersByIncarnation = new HashMap<>();
    private long sequence;

    /** Whether the previous beacon was too large for all of its entries. */
    private boolean omitting;

    BeaconExchange(
            PeerRouter self,
            long incarnation,
            List<String> seeds,
            ForwardingContext forwarding,
            TableWatcher watcher,
            CopyTransport copyTransport,
            CacheViewBootstrap cacheBootstrap,
            TimerService timers,
            BooleanSupplier ready,
            int relayRouters) {
        this.self = self;
        this.incarnation = incarnation;
        this.seeds = seeds.stream()
                .map(ChannelUtils::parseAddress)
                .map(address -> new InetSocketAddress(address.getAddress(), self.peerPort()))
                .filter(address -> !address.getAddress().getHostAddress().equals(self.host()))
                .toList();
        this.forwarding = forwarding;
        this.watcher = watcher;
        this.copies = new CopyCoordinator(self, watcher, copyTransport, timers);
        this.removalConfirmation = new RemovalConfirmation(forwarding.registry(), forwarding::discardServerState);
        this.cacheBootstrap = cacheBootstrap;
        this.timers = timers;
        this.ready = ready;
        this.relay =
                new UpdateRelay(self, relayRouters, forwarding.peers(), timers, forwarding.metrics(), this::receive);
        forwarding.metrics().gauge("coltsfootquay_relay_position", relay::position);
    }

    /** Sets a listener for whether a peer is in unbroken contact with the store, called for each beacon. */
    void setContactListener(BiConsumer<RouterId, Boolean> listener) {
        contactListener = listener;
    }

    /** Sends a full beacon to every known router, or to the seeds while no router is known. */
    void send(BeaconSender channel) {
        for (RouterId lost : forwarding.peers().removeSilent(timers.nowNanos())) {
            LOG.warn("router_lost", "router", lost);
            forwarding.loads().removePeer(lost);
            forwarding.demands().removePeer(lost);
            copies.peerLost(lost);
            removalConfirmation.peerLost(lost);
            LastBeacon last = lastBeacons.remove(lost);
            if (last != null) {
                routersByIncarnation.remove(last.incarnation);
            }
        }
        relay.renew(ready.getAsBoolean(), channel);
        Beacon.Builder header = PeerRouterCodec.convert(self)
                .setIncarnation(incarnation)
                .setReady(ready.getAsBoolean())
                .setJoining(cacheBootstrap.isJoining())
                .setStoreContact(forwarding.registry().contactUnbroken(timers.nowNanos()));
        addTableStates(header);
        Beacon.Builder beacon = Beacon.newBuilder();
        // A full beacon contains all loads, so the next update only needs the changes after it.
        Map<ServerName, ServerLoad> loads = forwarding.loads().takeChanged();
        loads.putAll(forwarding.loads().localLoad());
        addLoads(beacon, loads);
        addPromptCacheUpdates(beacon);
        QuarantineNewsCodec.add(beacon, forwarding.quarantine().takeNews(true, timers.nowNanos()));
        forwarding
                .demands()
                .localDemands(timers.nowNanos())
                .forEach((service, demands) ->
                        demands.forEach((workspace, demand) -> beacon.addDemands(BeaconDemand.newBuilder()
                                .setService(service.value())
                                .setWorkspace(workspace.value())
                                .setAsked((long) demand.requestedTokens())
                                .setSent((long) demand.dispatchedTokens()))));
        List<Beacon.Builder> messages = split(header.build(), beacon.build());
        long beaconSequence = sequence++;
        for (int i = 0; i < messages.size(); i++) {
            byte[] bytes = messages.get(i)
                    .setSequence(beaconSequence)
                    .setPart(i)
                    .setParts(messages.size() == 1 ? 0 : messages.size())
                    .build()
                    .toByteArray();
            if (!sendToPeers(channel, bytes)) {
                seeds.forEach(seed -> channel.send(bytes, seed));
            }
        }
    }

    private List<Beacon.Builder> split(Beacon header, Beacon content) {
        BeaconSplitter.Split split = BeaconSplitter.split(header, content);
        if (split.omitted() > 0) {
            forwarding
                    .metrics()
                    .counter("coltsfootquay_beacon_entries_omitted_total")
                    .inc(split.omitted());
            if (!omitting) {
                LOG.warn(
                        "beacon_too_large",
                        "omitted",
                        split.omitted(),
                        "datagrams",
                        split.messages().size());
            }
        }
        omitting = split.omitted() > 0;
        return split.messages();
    }

    /**
     * Sends the changed loads and the new prompt cache updates since the last beacon, if any load has changed or
     * servers have crashed.
     *
     * <p>The choice of a server depends on what the other routers have sent to it within the last fractions of a
     * second. All other content may be as old as the beacon period of a large fleet.
     */
    void sendUpdate(BeaconSender channel) {
        Map<ServerName, ServerLoad> changed = forwarding.loads().takeChanged();
        boolean news = forwarding.quarantine().hasNews();
        if (changed.isEmpty() && !news) {
            return;
        }
        Beacon header =
                Beacon.newBuilder().setUpdate(true).setIncarnation(incarnation).build();
        Beacon.Builder beacon = Beacon.newBuilder();
        addLoads(beacon, changed);
        addPromptCacheUpdates(beacon);
        QuarantineNewsCodec.add(beacon, forwarding.quarantine().takeNews(false, timers.nowNanos()));
        for (Beacon.Builder message : split(header, beacon.build())) {
            Beacon update = message.setSequence(sequence++).build();
            // Crashes must arrive before the next request that could repeat them.
            if (news || !relay.send(update)) {
                sendToPeers(channel, update.toByteArray());
            }
        }
    }

    /** Sends the states of the tables, after the store has confirmed one of them. */
    void sendTableStates(BeaconSender channel) {
        Beacon.Builder update =
                Beacon.newBuilder().setUpdate(true).setIncarnation(incarnation).setSequence(sequence++);
        addTableStates(update);
        sendToPeers(channel, update.build().toByteArray());
    }

    private void addTableStates(Beacon.Builder beacon) {
        for (WatchedTable table : WatchedTable.values()) {
            TableMirror mirror = watcher.mirror(table);
            TableState state = mirror.state();
            beacon.addTableRevisions(state.revision())
                    .addTableDigests(state.digest())
                    .addTableConfirmedMillis(mirror.confirmedMillis().orElse(0));
        }
    }

    private boolean sendToPeers(BeaconSender channel, byte[] bytes) {
        List<PeerRouter> current = forwarding.peers().beaconTargets();
        if (current != targets) {
            targets = current;
            addresses = current.stream().map(BeaconExchange::address).toList();
        }
        addresses.forEach(address -> channel.send(bytes, address));
        return !addresses.isEmpty();
    }

    static InetSocketAddress address(PeerRouter peer) {
        return new InetSocketAddress(peer.host(), peer.peerPort());
    }

    private void addLoads(Beacon.Builder beacon, Map<ServerName, ServerLoad> loads) {
        Map<ServerName, Long> sentTokens = forwarding.prefillBacklog().takeSent();
        Map<ServerName, FirstEventObservation> observations = forwarding.takeObservations();
        loads.forEach((server, load) -> beacon.addLoads(BeaconContent.load(
                server, load, sentTokens.getOrDefault(server, 0L), Optional.ofNullable(observations.get(server)))));
    }

    private void addPromptCacheUpdates(Beacon.Builder beacon) {
        for (PromptCacheUpdate update : forwarding.takePromptCacheUpdates()) {
            beacon.addReads(BeaconRead.newBuilder()
                    .setServer(update.server().value())
                    .setSharedKey(update.sharedPartsHash())
                    .setTokens(update.tokens()));
        }
    }

    /** Processes a beacon of another router, or one of its messages. */
    void receive(Beacon beacon) {
        if (beacon.getRelayedCount() > 0) {
            relay.receive(beacon);
            return;
        }
        // Crashes count whoever reports them, and in any order.
        forwarding.quarantine().receive(QuarantineNewsCodec.read(beacon), timers.nowNanos());
        if (beacon.getUpdate()) {
            receiveUpdate(beacon);
            return;
        }
        Optional<PeerRouter> sender = PeerRouterCodec.convert(beacon);
        int messages = Math.max(1, beacon.getParts());
        if (sender.isEmpty() || sender.get().id().equals(self.id()) || messages > BeaconSplitter.MAX_MESSAGES) {
            return;
        }
        PeerRouter peer = sender.get();
        LastBeacon last = lastBeacons.get(peer.id());
        if (last == null || last.incarnation != beacon.getIncarnation() || beacon.getSequence() > last.sequence) {
            last = beaconStarted(peer, last, beacon, messages);
        }
        Map<ServerName, ServerLoad> loads = BeaconContent.loads(beacon);
        Map<ServiceName, Map<WorkspaceId, Demand>> demands = BeaconContent.demands(beacon);
        if (beacon.getSequence() < last.sequence || !last.received.add(beacon.getPart(), loads, demands)) {
            return;
        }
        forwarding.peers().recordBeacon(peer, beacon.getReady(), timers.nowNanos());
        if (last.received.complete()) {
            forwarding.loads().replacePeerReport(peer.id(), last.received.loads());
            forwarding.demands().replacePeerReport(peer.id(), last.received.demands());
        } else {
            forwarding.loads().updatePeerLoads(peer.id(), loads);
            forwarding.demands().updatePeerReport(peer.id(), demands);
        }
        recordEngineWork(beacon);
        recordPromptCacheUpdates(beacon);
    }

    /** Processes what all messages of a beacon have in common. */
    private LastBeacon beaconStarted(PeerRouter peer, LastBeacon last, Beacon beacon, int messages) {
        if (last == null || last.incarnation != beacon.getIncarnation()) {
            LOG.info("router_heard", "router", peer.id(), "incarnation", Long.toHexString(beacon.getIncarnation()));
        }
        if (last != null) {
            routersByIncarnation.remove(last.incarnation);
            countLost(last, beacon);
            forwarding
                    .metrics()
                    .counter("coltsfootquay_beacon_messages_lost_total")
                    .inc(last.received.missing());
        }
        UpdateOrder<ServerName> order =
                last != null && last.incarnation == beacon.getIncarnation() ? last.order : new UpdateOrder<>();
        order.fullBeaconReceived(beacon.getSequence());
        LastBeacon started = new LastBeacon(
                peer, beacon.getIncarnation(), beacon.getSequence(), new ReceivedBeacon(messages), order);
        lastBeacons.put(peer.id(), started);
        routersByIncarnation.put(beacon.getIncarnation(), peer.id());
        cacheBootstrap.beaconReceived(peer, beacon.getJoining());
        removalConfirmation.contactReported(peer.id(), beacon.getStoreContact());
        contactListener.accept(peer.id(), beacon.getStoreContact());
        receiveTableStates(peer, beacon);
        return started;
    }

    private void receiveTableStates(PeerRouter peer, Beacon beacon) {
        for (WatchedTable table : WatchedTable.values()) {
            int number = table.number();
            if (number < beacon.getTableRevisionsCount() && number < beacon.getTableDigestsCount()) {
                TableState state = new TableState(beacon.getTableRevisions(number), beacon.getTableDigests(number));
                if (number < beacon.getTableConfirmedMillisCount()) {
                    watcher.peerConfirmed(table, state, beacon.getTableConfirmedMillis(number));
                }
                copies.stateReported(peer, table, state);
            }
        }
    }

    /** Processes an update; ignores one of an unknown incarnation, since a full beacon follows within a second. */
    private void receiveUpdate(Beacon beacon) {
        RouterId peer = routersByIncarnation.get(beacon.getIncarnation());
        LastBeacon last = peer == null ? null : lastBeacons.get(peer);
        if (last == null || !last.order.updateReceived(beacon.getSequence())) {
            return;
        }
        if (beacon.getSequence() > last.sequence) {
            countLost(last, beacon);
            lastBeacons.put(peer, last.withSequence(beacon.getSequence()));
            receiveTableStates(last.router, beacon);
        } else {
            forwarding.metrics().count("coltsfootquay_beacons_late_total");
        }
        forwarding.loads().updatePeerLoads(peer, last.order.current(beacon.getSequence(), BeaconContent.loads(beacon)));
        recordEngineWork(beacon);
        recordPromptCacheUpdates(beacon);
    }

    /** Counts the beacons and updates of an incarnation that are missing between two; all have their own numbers. */
    private void countLost(LastBeacon last, Beacon beacon) {
        long lost = beacon.getSequence() - last.sequence - 1;
        if (last.incarnation == beacon.getIncarnation() && lost > 0) {
            forwarding.metrics().counter("coltsfootquay_beacons_lost_total").inc(lost);
        }
    }

    /** Records the prompts that the sender gave to engines, and the times to the first event that it observed. */
    private void recordEngineWork(Beacon beacon) {
        for (BeaconLoad load : beacon.getLoadsList()) {
            if (load.getServer().isEmpty()) {
                continue;
            }
            ServerName server = new ServerName(load.getServer());
            if (load.getNewTokens() > 0) {
                forwarding.prefillBacklog().addPeer(server, load.getNewTokens(), timers.nowNanos());
            }
            if (load.getObservedMillis() > 0 && load.getObservedWaitingTokens() >= 0 && load.getObservedTokens() >= 0) {
                forwarding
                        .latencyModel()
                        .record(new FirstEventObservation(
                                server,
                                load.getObservedWaitingTokens(),
                                load.getObservedTokens(),
                                Duration.ofMillis(load.getObservedMillis())));
            }
        }
    }

    private void recordPromptCacheUpdates(Beacon beacon) {
        for (BeaconRead read : beacon.getReadsList()) {
            if (!read.getServer().isEmpty()) {
                forwarding.recordPromptCacheUpdate(
                        new PromptCacheUpdate(new ServerName(read.getServer()), read.getSharedKey(), read.getTokens()));
            }
        }
    }

    /** Last beacon or update of a router, with the messages of its last beacon. */
    private record LastBeacon(
            PeerRouter router,
            long incarnation,
            long sequence,
            ReceivedBeacon received,
            UpdateOrder<ServerName> order) {

        private LastBeacon withSequence(long newSequence) {
            return new LastBeacon(router, incarnation, newSequence, received, order);
        }
    }
}
