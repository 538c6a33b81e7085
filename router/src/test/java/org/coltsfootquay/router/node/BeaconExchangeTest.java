package org.coltsfootquay.router.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.decision.peer.PeerTable;
import org.coltsfootquay.decision.selection.ServerLoad;
import org.coltsfootquay.decision.timer.DrivenTimerService;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.router.forward.ForwardingContext;
import org.coltsfootquay.router.forward.FleetLimits;
import org.coltsfootquay.router.metrics.RouterMetrics;
import org.coltsfootquay.router.state.TableWatcher;
import org.junit.jupiter.api.Test;

/** Guards against choices of servers that rest on loads of a second ago, or on loads of a router that is gone. */
final class BeaconExchangeTest {

    private static final ServerName SERVER = new ServerName("s");
    private static final ServerName OTHER = new ServerName("other");

    private final DrivenTimerService timers = new DrivenTimerService(0);
    private final Side sender = new Side("a", 1);
    private final Side receiver = new Side("b", 2);

    BeaconExchangeTest() {
        sender.peers.recordBeacon(receiver.card, true, 0);
    }

    @Test
    void beaconStatesAllLoadsOfTheSender() {
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(2, 20, 200));
        sender.beacons.send(sender::sent);
        receiver.takeAll(sender);
        assertEquals(new ServerLoad(2, 20, 200), receiver.forwarding.loads().totalLoad(SERVER));
    }

    @Test
    void updateChangesOnlyTheLoadsThatItStates() {
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(2, 20, 200));
        sender.forwarding.loads().addLocal(OTHER, new ServerLoad(1, 10, 100));
        sender.beacons.send(sender::sent);
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(1, 5, 50));
        sender.beacons.sendUpdate(sender::sent);
        receiver.takeAll(sender);
        assertEquals(new ServerLoad(3, 25, 250), receiver.forwarding.loads().totalLoad(SERVER));
        assertEquals(new ServerLoad(1, 10, 100), receiver.forwarding.loads().totalLoad(OTHER));
    }

    @Test
    void nothingIsSentWhenNoLoadChanged() {
        sender.beacons.sendUpdate(sender::sent);
        assertTrue(sender.datagrams.isEmpty());
    }

    @Test
    void updateOfAnUnknownLifeIsLeftOut() {
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(2, 20, 200));
        sender.beacons.sendUpdate(sender::sent);
        receiver.takeAll(sender);
        assertEquals(ServerLoad.NONE, receiver.forwarding.loads().totalLoad(SERVER));
    }

    @Test
    void lateUpdateDoesNotUndoANewerBeacon() {
        sender.beacons.send(sender::sent);
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(2, 20, 200));
        sender.beacons.sendUpdate(sender::sent);
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(-2, -20, -200));
        sender.beacons.send(sender::sent);
        receiver.take(sender.datagrams.get(0));
        receiver.take(sender.datagrams.get(2));
        receiver.take(sender.datagrams.get(1));
        assertEquals(ServerLoad.NONE, receiver.forwarding.loads().totalLoad(SERVER));
    }

    @Test
    void loadsOfASilentRouterAreDropped() {
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(2, 20, 200));
        sender.beacons.send(sender::sent);
        receiver.takeAll(sender);
        timers.advance(receiver.peers.silenceTimeout().plusMillis(1).toNanos());
        receiver.beacons.send(receiver::sent);
        assertEquals(ServerLoad.NONE, receiver.forwarding.loads().totalLoad(SERVER));
    }

    private final class Side {

        private final PeerRouter card;
        private final PeerTable peers;
        private final ForwardingContext forwarding;
        private final BeaconExchange beacons;
        private final List<byte[]> datagrams = new ArrayList<>();

        private Side(String name, long incarnation) {
            card = new PeerRouter(new RouterId(name), new ZoneName("z"), "127.0.0.1", 1, "127.0.0.1:1");
            peers = new PeerTable(card);
            FleetLimits bounds = new FleetLimits(0.2, 50, Duration.ofSeconds(10), 1.5, 5);
            forwarding = new ForwardingContext(
                    card.id(), card.zone(), timers, null, null, peers, bounds, new RouterMetrics());
            TableWatcher watcher = new TableWatcher(null, timers, new Random(1), null, () -> 2);
            CacheViewBootstrap caches = new CacheViewBootstrap(card.zone(), forwarding, null, timers);
            beacons = new BeaconExchange(card, incarnation, List.of(), forwarding, watcher, null, caches, timers, () -> true);
        }

        private void sent(byte[] datagram, InetSocketAddress to) {
            datagrams.add(datagram);
        }

        private void takeAll(Side from) {
            from.datagrams.forEach(this::take);
        }

        private void take(byte[] datagram) {
            try {
                beacons.receive(Beacon.parseFrom(datagram));
            } catch (InvalidProtocolBufferException e) {
                throw new AssertionError(e);
            }
        }
    }
}
