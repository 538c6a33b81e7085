package org.coltsfootquay.router.node;

import com.google.protobuf.CodedOutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.exchange.RelayQueue;
import org.coltsfootquay.decision.exchange.RelaySelector;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.decision.peer.PeerTable;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.metrics.RouterMetrics;

/**
 * Sends updates to the relays of the own availability zone, and passes on those of other routers; used on the event
 * loop.
 *
 * <p>Updates travel in bundles. A bundle with the name of a zone asks its recipient to pass the updates on: one of the
 * recipient's own zone to its members and to the relays of the other zones, one of another zone to its members only. A
 * bundle without a zone is not passed on, so that no update travels in a circle.
 */
final class UpdateRelay {

    private static final EventLog LOG = EventLog.of(UpdateRelay.class);

    /** Maximum size of an update inside a bundle; larger ones are sent directly. */
    private static final int MAX_UPDATE_BYTES = BeaconSplitter.MAX_MESSAGE_BYTES;

    /** Beacon periods without a beacon after which a router is not selected as a relay; two beacons were lost. */
    private static final double RELAY_SILENCE_PERIODS = 2.5;

    private final PeerRouter self;
    private final int minRouters;
    private final PeerTable peers;
    private final TimerService timers;
    private final RouterMetrics metrics;
    private final Consumer<Beacon> receiver;
    private final RelayQueue<Beacon> queue = new RelayQueue<>();
    private BeaconSender channel;
    private boolean ready;
    private boolean flushScheduled;

    /** Recipients selected since the last beacon of this router; null until they are needed. */
    private Plan plan;

    /** Relays of the own zone that were logged last. */
    private List<RouterId> loggedRelays = List.of();

    /**
     * Creates a relay.
     *
     * @param self this router
     * @param minRouters number of routers from which updates go through relays; 0 for never
     * @param peers peers
     * @param timers timers of the event loop
     * @param metrics metrics
     * @param receiver consumer of the updates in bundles
     */
    UpdateRelay(
            PeerRouter self,
            int minRouters,
            PeerTable peers,
            TimerService timers,
            RouterMetrics metrics,
            Consumer<Beacon> receiver) {
        this.self = self;
        this.minRouters = minRouters;
        this.peers = peers;
        this.timers = timers;
        this.metrics = metrics;
        this.receiver = receiver;
    }

    /** Discards the selected recipients, so that they follow the beacons of the last period. */
    void renew(boolean selfReady, BeaconSender sender) {
        ready = selfReady;
        channel = sender;
        plan = null;
        queue.removeSilent(timers.nowNanos());
    }

    /** Sends an update to the relays; returns false if it has to be sent directly. */
    boolean send(Beacon update) {
        if (minRouters == 0
                || peers.members().size() < minRouters
                || channel == null
                || update.getSerializedSize() > MAX_UPDATE_BYTES) {
            return false;
        }
        byte[] bundle = header(self.zone()).addRelayed(update).build().toByteArray();
        plan().ownRelays.forEach(relay -> channel.send(bundle, relay));
        if (plan().position >= 0) {
            enqueue(update, true);
        }
        return true;
    }

    /** Processes a bundle. */
    void receive(Beacon bundle) {
        boolean passedOn = bundle.getZone().isEmpty();
        boolean ownZone = bundle.getZone().equals(self.zone().value());
        for (Beacon update : bundle.getRelayedList()) {
            if (!update.getUpdate() || update.getRelayedCount() > 0) {
                continue;
            }
            if (!passedOn) {
                enqueue(update, ownZone);
            } else if (!queue.isEmpty() || (plan != null && plan.position >= 0)) {
                queue.passedOn(update.getIncarnation(), update.getSequence(), timers.nowNanos());
            }
            receiver.accept(update);
        }
    }

    private void enqueue(Beacon update, boolean ownZone) {
        if (channel == null) {
            return;
        }
        Duration delay =
                RelayQueue.collectionTime(plan().position == 0, plan().members.size());
        long due = timers.nowNanos() + delay.toNanos();
        if (queue.add(update.getIncarnation(), update.getSequence(), ownZone, update, due)) {
            scheduleFlush();
        }
    }

    private void scheduleFlush() {
        OptionalLong due = queue.nextDueNanos();
        if (!flushScheduled && due.isPresent()) {
            flushScheduled = true;
            Duration delay = Duration.ofNanos(Math.max(0, due.getAsLong() - timers.nowNanos()));
            timers.scheduleOnce("relay", delay, this::flush);
        }
    }

    /** Passes on the updates that are due, and those that would be due before a new round had been collected. */
    private void flush() {
        flushScheduled = false;
        Duration round = RelayQueue.collectionTime(true, plan().members.size());
        List<RelayQueue.Waiting<Beacon>> due = queue.takeDue(timers.nowNanos() + round.toNanos());
        metrics.counter("coltsfootquay_updates_relayed_total").inc(due.size());
        sendBundles(
                Beacon.newBuilder().setUpdate(true),
                due.stream().map(RelayQueue.Waiting::update).toList(),
                plan().members);
        sendBundles(
                header(self.zone()),
                due.stream()
                        .filter(RelayQueue.Waiting::ownZone)
                        .map(RelayQueue.Waiting::update)
                        .toList(),
                plan().foreignRelays);
        scheduleFlush();
    }

    private void sendBundles(Beacon.Builder header, List<Beacon> updates, List<InetSocketAddress> recipients) {
        int headerBytes = header.build().getSerializedSize();
        Beacon.Builder bundle = header.clone();
        int bytes = headerBytes;
        for (Beacon update : updates) {
            int size = CodedOutputStream.computeMessageSize(Beacon.RELAYED_FIELD_NUMBER, update);
            if (bundle.getRelayedCount() > 0 && bytes + size > BeaconSplitter.MAX_MESSAGE_BYTES) {
                sendAll(bundle, recipients);
                bundle = header.clone();
                bytes = headerBytes;
            }
            bundle.addRelayed(update);
            bytes += size;
        }
        if (bundle.getRelayedCount() > 0) {
            sendAll(bundle, recipients);
        }
    }

    private void sendAll(Beacon.Builder bundle, List<InetSocketAddress> recipients) {
        byte[] bytes = bundle.build().toByteArray();
        recipients.forEach(recipient -> channel.send(bytes, recipient));
    }

    private static Beacon.Builder header(ZoneName zone) {
        return Beacon.newBuilder().setUpdate(true).setZone(zone.value());
    }

    private Plan plan() {
        if (plan == null) {
            plan = select();
        }
        return plan;
    }

    private Plan select() {
        Duration silence = Duration.ofMillis((long) (peers.beaconPeriod().toMillis() * RELAY_SILENCE_PERIODS));
        List<RelaySelector.Candidate> candidates = new ArrayList<>();
        candidates.add(new RelaySelector.Candidate(self, ready));
        peers.heardWithin(silence, timers.nowNanos())
                .forEach((peer, peerReady) -> candidates.add(new RelaySelector.Candidate(peer, peerReady)));
        Map<ZoneName, List<PeerRouter>> relays = RelaySelector.select(candidates);
        List<PeerRouter> own = relays.get(self.zone());
        List<InetSocketAddress> foreign = relays.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(self.zone()))
                .flatMap(entry -> entry.getValue().stream())
                .map(BeaconExchange::address)
                .toList();
        List<InetSocketAddress> members = peers.beaconTargets().stream()
                .filter(peer -> peer.zone().equals(self.zone()))
                .map(BeaconExchange::address)
                .toList();
        logChange(own);
        return new Plan(
                own.stream()
                        .filter(relay -> !relay.id().equals(self.id()))
                        .map(BeaconExchange::address)
                        .toList(),
                foreign,
                members,
                own.indexOf(self));
    }

    private void logChange(List<PeerRouter> relays) {
        List<RouterId> ids = relays.stream().map(PeerRouter::id).toList();
        if (!ids.equals(loggedRelays)) {
            boolean duty = ids.contains(self.id());
            if (duty || loggedRelays.contains(self.id())) {
                LOG.info("relay_duty", "position", ids.indexOf(self.id()) + 1, "zone", self.zone());
            }
            LOG.info("relays_changed", "zone", self.zone(), "relays", ids);
            loggedRelays = ids;
        }
    }

    /** Returns the position of this router among the relays of its zone, from 1; 0 if it is none. */
    int position() {
        return plan == null ? 0 : plan.position + 1;
    }

    /**
     * Recipients of updates.
     *
     * @param ownRelays other relays of the own zone
     * @param foreignRelays relays of the other zones
     * @param members other routers of the own zone
     * @param position position of this router among the relays of its zone, or -1
     */
    private record Plan(
            List<InetSocketAddress> ownRelays,
            List<InetSocketAddress> foreignRelays,
            List<InetSocketAddress> members,
            int position) {}
}
