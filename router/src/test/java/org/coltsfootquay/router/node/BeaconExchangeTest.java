package org.coltsfootquay.router.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.coltsfootquay.decision.admission.Demand;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.decision.peer.PeerTable;
import org.coltsfootquay.decision.peer.RouterUse;
import org.coltsfootquay.decision.quarantine.CrashReport;
import org.coltsfootquay.decision.quarantine.PartKey;
import org.coltsfootquay.decision.quarantine.UnansweredPart;
import org.coltsfootquay.decision.selection.ServerLoad;
import org.coltsfootquay.decision.timer.DrivenTimerService;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.router.forward.FleetLimits;
import org.coltsfootquay.router.forward.ForwardingContext;
import org.coltsfootquay.router.forward.MemoryLimits;
import org.coltsfootquay.router.metrics.RouterMetrics;
import org.coltsfootquay.router.state.TableWatcher;
import org.junit.jupiter.api.Test;

/**
 * Verifies that routers apply the loads in beacons and updates, and remove the loads of a lost router.
 *
 * <p>Otherwise servers would be chosen by loads that are a second old or that a lost router has reported.
 */
final class BeaconExchangeTest {

    /** Payload of a datagram on a link with an MTU of 1,500 bytes. */
    private static final int MAX_DATAGRAM_BYTES = 1472;

    private static final ServiceName SERVICE = new ServiceName("drawing-assistant");
    private static final ServerName SERVER = new ServerName("s");
    private static final Duration CRASH_INTERVAL = Duration.ofMillis(200);
    private static final PartKey PART = new PartKey(7);
    private static final int FIRST_REQUEST = 1_000;
    private static final ServerName OTHER = new ServerName("other");

    private final DrivenTimerService timers = new DrivenTimerService(0);
    private final TestRouter sender = new TestRouter("a", 1);
    private final TestRouter receiver = new TestRouter("b", 2);

    BeaconExchangeTest() {
        sender.peers.recordBeacon(receiver.self, true, 0);
    }

    @Test
    void beaconContainsAllLoadsOfTheSender() {
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(2, 20, 200));
        sender.exchange.send(sender::capture);
        receiver.receiveAll(sender);
        assertEquals(new ServerLoad(2, 20, 200), receiver.forwarding.loads().totalLoad(SERVER));
    }

    @Test
    void beaconStatesTheUseOfTheSender() {
        sender.peers.setOwnUse(new RouterUse(420, 37));
        sender.exchange.send(sender::capture);
        receiver.receiveAll(sender);
        assertTrue(receiver.peers.useReports(false, timers.nowNanos()).stream()
                .anyMatch(report ->
                        report.router().equals(sender.self.id()) && report.use().equals(new RouterUse(420, 37))));
    }

    @Test
    void updateChangesOnlyTheLoadsThatItContains() {
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(2, 20, 200));
        sender.forwarding.loads().addLocal(OTHER, new ServerLoad(1, 10, 100));
        sender.exchange.send(sender::capture);
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(1, 5, 50));
        sender.exchange.sendUpdate(sender::capture);
        receiver.receiveAll(sender);
        assertEquals(new ServerLoad(3, 25, 250), receiver.forwarding.loads().totalLoad(SERVER));
        assertEquals(new ServerLoad(1, 10, 100), receiver.forwarding.loads().totalLoad(OTHER));
    }

    @Test
    void nothingIsSentWhenNoLoadChanged() {
        sender.exchange.sendUpdate(sender::capture);
        assertTrue(sender.datagrams.isEmpty());
    }

    @Test
    void updateOfAnUnknownIncarnationIsIgnored() {
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(2, 20, 200));
        sender.exchange.sendUpdate(sender::capture);
        receiver.receiveAll(sender);
        assertEquals(ServerLoad.NONE, receiver.forwarding.loads().totalLoad(SERVER));
    }

    @Test
    void lateUpdateDoesNotOverwriteANewerBeacon() {
        sender.exchange.send(sender::capture);
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(2, 20, 200));
        sender.exchange.sendUpdate(sender::capture);
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(-2, -20, -200));
        sender.exchange.send(sender::capture);
        receiver.receive(sender.datagrams.get(0));
        receiver.receive(sender.datagrams.get(2));
        receiver.receive(sender.datagrams.get(1));
        assertEquals(ServerLoad.NONE, receiver.forwarding.loads().totalLoad(SERVER));
    }

    @Test
    void beaconsAndUpdatesThatWereNotReceivedAreCounted() {
        sender.exchange.send(sender::capture);
        sendUpdate();
        sendUpdate();
        sendUpdate();
        sender.exchange.send(sender::capture);
        sender.exchange.send(sender::capture);
        for (int received : List.of(0, 2, 5)) {
            receiver.receive(sender.datagrams.get(received));
        }
        assertEquals(3, receiver.lostBeacons());
    }

    @Test
    void beaconsThatAreAllReceivedCountNoLoss() {
        fill(60, 60, 0);
        sender.exchange.send(sender::capture);
        sendUpdate();
        sender.exchange.send(sender::capture);
        receiver.receiveAll(sender);
        assertEquals(0, receiver.lostBeacons());
    }

    @Test
    void restartOfARouterCountsNoLoss() {
        TestRouter restarted = new TestRouter("a", 3);
        restarted.peers.recordBeacon(receiver.self, true, 0);
        sender.exchange.send(sender::capture);
        for (int i = 0; i < 5; i++) {
            restarted.datagrams.clear();
            restarted.exchange.send(restarted::capture);
        }
        receiver.receiveAll(sender);
        receiver.receiveAll(restarted);
        assertEquals(0, receiver.lostBeacons());
    }

    private void sendUpdate() {
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(1, 1, 1));
        sender.exchange.sendUpdate(sender::capture);
    }

    @Test
    void loadsOfALostRouterAreRemoved() {
        sender.forwarding.loads().addLocal(SERVER, new ServerLoad(2, 20, 200));
        sender.exchange.send(sender::capture);
        receiver.receiveAll(sender);
        timers.advance(receiver.peers.silenceTimeout().plusMillis(1).toNanos());
        receiver.exchange.send(receiver::capture);
        assertEquals(ServerLoad.NONE, receiver.forwarding.loads().totalLoad(SERVER));
    }

    @Test
    void crashesOfSeveralRoutersQuarantineAPart() {
        sender.exchange.send(sender::capture);
        sender.crash("s1", 1);
        sender.crash("s2", 2);
        receiver.crash("s3", 3);
        sender.exchange.sendUpdate(sender::capture);
        receiver.receiveAll(sender);
        assertTrue(receiver.isQuarantined());
    }

    /** Each router of a fleet let a request with a suspected part through. */
    @Test
    void requestWithASuspectedPartIsSentByOneRouter() {
        receiver.peers.recordBeacon(sender.self, true, 0);
        sender.crash("s1", 1);
        sender.crash("s2", 2);
        sender.exchange.send(sender::capture);
        receiver.receiveAll(sender);
        sender.tryProbe(2);
        receiver.tryProbe(1);
        timers.advance(timers.nowNanos() + Duration.ofMillis(20).toNanos());
        assertFalse(sender.tryProbe(2));
        sender.exchange.sendUpdate(sender::capture);
        receiver.receiveAll(sender);
        assertFalse(receiver.tryProbe(1));
        timers.advance(timers.nowNanos() + Duration.ofMillis(300).toNanos());
        assertTrue(sender.tryProbe(2));
        sender.forwarding.quarantine().probeSent(2, timers.nowNanos());
        sender.exchange.sendUpdate(sender::capture);
        receiver.receiveAll(sender);
        timers.advance(timers.nowNanos() + Duration.ofMillis(300).toNanos());
        assertFalse(receiver.tryProbe(1));
        sender.forwarding.quarantine().recordAnswer(Set.of(PART), timers.nowNanos());
        sender.exchange.sendUpdate(sender::capture);
        receiver.receiveAll(sender);
        assertTrue(receiver.tryProbe(1));
    }

    @Test
    void routerThatStartsLearnsAQuarantineFromTheNextBeacon() {
        for (int i = 0; i < 3; i++) {
            sender.crash("s" + i, i);
        }
        for (int i = 0; i < 10; i++) {
            sender.exchange.sendUpdate(sender::capture);
        }
        sender.datagrams.clear();
        timers.advance(Duration.ofSeconds(20).toNanos());
        sender.peers.recordBeacon(receiver.self, true, timers.nowNanos());
        sender.exchange.send(sender::capture);
        receiver.receiveAll(sender);
        assertTrue(receiver.isQuarantined());
    }

    @Test
    void answerOfOneRouterEndsTheQuarantineOfAnother() {
        sender.exchange.send(sender::capture);
        for (int i = 0; i < 3; i++) {
            sender.crash("s" + i, i);
        }
        sender.exchange.sendUpdate(sender::capture);
        receiver.receiveAll(sender);
        sender.datagrams.clear();
        timers.advance(timers.nowNanos() + 1);
        sender.forwarding.quarantine().recordAnswer(Set.of(PART), timers.nowNanos());
        sender.exchange.sendUpdate(sender::capture);
        receiver.receiveAll(sender);
        assertFalse(receiver.isQuarantined());
    }

    /** With 60 workspaces beacons exceeded the receive buffer; routers were lost and did not hear of crashes. */
    @Test
    void beaconOfManyWorkspacesIsReceivedWhole() {
        fill(60, 16, 8);
        sender.exchange.send(sender::capture);
        assertDatagramsFit();
        receiver.receiveAll(sender);
        assertReceivedWhole(60, 16, 8);
    }

    @Property(tries = 30)
    void beaconOfAnySizeIsReceivedWholeInAnyOrder(
            @ForAll @IntRange(min = 0, max = 400) int workspaces,
            @ForAll @IntRange(min = 0, max = 400) int servers,
            @ForAll @IntRange(min = 0, max = 60) int crashes,
            @ForAll Random random) {
        // All tries of a property share one instance.
        new BeaconExchangeTest().assertReceivedWholeInAnyOrder(workspaces, servers, crashes, random);
    }

    private void assertReceivedWholeInAnyOrder(int workspaces, int servers, int crashes, Random random) {
        fill(workspaces, servers, crashes);
        sender.exchange.send(sender::capture);
        assertDatagramsFit();
        Collections.shuffle(sender.datagrams, random);
        receiver.receiveAll(sender);
        assertReceivedWhole(workspaces, servers, crashes);
    }

    @Property(tries = 30)
    void lostDatagramLosesOnlyItsOwnEntriesUntilTheNextBeacon(
            @ForAll @IntRange(min = 100, max = 400) int workspaces,
            @ForAll @IntRange(min = 100, max = 400) int servers,
            @ForAll Random random) {
        new BeaconExchangeTest().assertOnlyALostDatagramIsMissing(workspaces, servers, random);
    }

    private void assertOnlyALostDatagramIsMissing(int workspaces, int servers, Random random) {
        fill(workspaces, servers, 0);
        sender.exchange.send(sender::capture);
        int datagrams = sender.datagrams.size();
        sender.datagrams.remove(random.nextInt(datagrams));
        receiver.receiveAll(sender);
        int known = knownLoads(servers) + knownDemands(workspaces);
        assertTrue(known > 0 && known < servers + workspaces, known + " entries known");
        assertTrue(known >= (servers + workspaces) / 3, known + " entries known");
        sender.datagrams.clear();
        sender.exchange.send(sender::capture);
        receiver.receiveAll(sender);
        assertReceivedWhole(workspaces, servers, 0);
    }

    @Test
    void loadThatIsMissingInAWholeBeaconOfSeveralDatagramsIsRemoved() {
        fill(60, 60, 0);
        sender.exchange.send(sender::capture);
        receiver.receiveAll(sender);
        sender.datagrams.clear();
        sender.forwarding.loads().addLocal(server(0), new ServerLoad(-1, -1, -1));
        sender.forwarding.loads().takeChanged();
        sender.exchange.send(sender::capture);
        receiver.receiveAll(sender);
        assertEquals(ServerLoad.NONE, receiver.forwarding.loads().totalLoad(server(0)));
        assertEquals(59, knownLoads(60));
    }

    /** The update may overtake the beacon that introduces its sender. */
    @Test
    void crashInAnUpdateOfAnUnknownSenderCounts() {
        for (int i = 0; i < 3; i++) {
            sender.crash("s" + i, i);
        }
        sender.exchange.sendUpdate(sender::capture);
        receiver.receiveAll(sender);
        assertTrue(receiver.isQuarantined());
    }

    private void fill(int workspaces, int servers, int crashes) {
        for (int i = 0; i < crashes; i++) {
            sender.crash("crashed-" + i, FIRST_REQUEST + i);
        }
        sender.peers.recordBeacon(receiver.self, true, timers.nowNanos());
        for (int i = 0; i < workspaces; i++) {
            sender.forwarding.demands().recordRequested(SERVICE, workspace(i), 100, timers.nowNanos());
        }
        for (int i = 0; i < servers; i++) {
            sender.forwarding.loads().addLocal(server(i), new ServerLoad(1, 1, 1));
        }
    }

    private void assertDatagramsFit() {
        for (byte[] datagram : sender.datagrams) {
            assertTrue(datagram.length <= MAX_DATAGRAM_BYTES, datagram.length + " bytes");
        }
    }

    private void assertReceivedWhole(int workspaces, int servers, int crashes) {
        assertEquals(servers, knownLoads(servers));
        assertEquals(workspaces, knownDemands(workspaces));
        assertEquals(crashes >= 3, receiver.isQuarantined());
    }

    private int knownLoads(int servers) {
        int known = 0;
        for (int i = 0; i < servers; i++) {
            known += receiver.forwarding.loads().totalLoad(server(i)).requests();
        }
        return known;
    }

    private int knownDemands(int workspaces) {
        Map<WorkspaceId, Demand> demands = receiver.forwarding.demands().totalDemands(SERVICE, timers.nowNanos());
        int known = 0;
        for (int i = 0; i < workspaces; i++) {
            known += demands.containsKey(workspace(i)) ? 1 : 0;
        }
        return known;
    }

    private static ServerName server(int number) {
        return new ServerName("i-10000000" + number);
    }

    private static WorkspaceId workspace(int number) {
        return new WorkspaceId("workspace-" + number);
    }

    private final class TestRouter {

        private final PeerRouter self;
        private final PeerTable peers;
        private final ForwardingContext forwarding;
        private final BeaconExchange exchange;
        private final List<byte[]> datagrams = new ArrayList<>();

        private TestRouter(String name, long incarnation) {
            self = new PeerRouter(new RouterId(name), new ZoneName("z"), "127.0.0.1", 1, "127.0.0.1:1");
            peers = new PeerTable(self);
            FleetLimits limits = new FleetLimits(0.2, 50, Duration.ofSeconds(10), 1.5, 5);
            forwarding = new ForwardingContext(
                    self.id(),
                    self.zone(),
                    timers,
                    null,
                    null,
                    peers,
                    limits,
                    Duration.ofMinutes(5),
                    MemoryLimits.ofHeap(64 << 20),
                    new RouterMetrics());
            TableWatcher watcher = new TableWatcher(null, timers, new Random(1), null, () -> 2);
            CacheViewBootstrap cacheBootstrap = new CacheViewBootstrap(self.zone(), forwarding, null, timers);
            exchange = new BeaconExchange(
                    self, incarnation, List.of(), forwarding, watcher, null, cacheBootstrap, timers, () -> true, 0);
        }

        /** Records a crash that the other routers can tell from the one before. */
        private void crash(String server, long request) {
            timers.advance(timers.nowNanos() + CRASH_INTERVAL.toNanos());
            forwarding
                    .quarantine()
                    .recordCrash(
                            new CrashReport(
                                    new ServerName(server),
                                    1,
                                    List.of(new UnansweredPart(PART, new PartKey(request), Duration.ZERO))),
                            timers.nowNanos());
        }

        private long lostBeacons() {
            return forwarding
                    .metrics()
                    .counter("coltsfootquay_beacons_lost_total")
                    .getCount();
        }

        private boolean tryProbe(long request) {
            return forwarding.quarantine().tryProbe(request, Set.of(PART), timers.nowNanos());
        }

        private boolean isQuarantined() {
            return forwarding
                    .quarantine()
                    .check(Set.of(PART), timers.nowNanos())
                    .isPresent();
        }

        private void capture(byte[] datagram, InetSocketAddress recipient) {
            datagrams.add(datagram);
        }

        private void receiveAll(TestRouter source) {
            source.datagrams.forEach(this::receive);
        }

        private void receive(byte[] datagram) {
            try {
                exchange.receive(Beacon.parseFrom(datagram));
            } catch (InvalidProtocolBufferException e) {
                throw new AssertionError(e);
            }
        }
    }
}
