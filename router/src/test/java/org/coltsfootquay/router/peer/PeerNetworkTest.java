package org.coltsfootquay.router.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import java.io.DataInputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.protocol.generated.Enqueue;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.protocol.generated.Goodbye;
import org.coltsfootquay.protocol.generated.Hello;
import org.coltsfootquay.protocol.generated.Withdraw;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerNetworkTest {

    private static final byte[] KEY = "fleet key of the test".getBytes(StandardCharsets.UTF_8);
    private static final PeerLimits LIMITS = new PeerLimits(
            Duration.ofSeconds(2),
            Duration.ofMillis(500),
            Duration.ofMillis(300),
            Duration.ofMillis(100),
            Duration.ofMillis(400),
            128 * 1024);

    private final EventLoopGroup loops = ChannelUtils.eventLoops("peer-test", 2);
    private final Map<RouterId, String> addresses = new ConcurrentHashMap<>();
    private final List<PeerNetwork> networks = new ArrayList<>();

    @AfterEach
    void close() {
        networks.forEach(PeerNetwork::close);
        ChannelUtils.shutDown(loops).join();
    }

    /** Failure guarded against: frames that waited for the connection arrive out of order or not at all. */
    @Test
    void framesArriveInOrderOverOneConnection() throws Exception {
        Node a = node("a", KEY, true);
        Node b = node("b", KEY, true);
        for (int i = 0; i < 100; i++) {
            assertEquals(SendResult.ACCEPTED, a.network.send(b.id, enqueue("r" + i)));
        }
        for (int i = 0; i < 100; i++) {
            assertEquals("r" + i, b.next().getEnqueue().getRequest());
        }
        assertEquals(SendResult.ACCEPTED, b.network.send(a.id, withdraw("r1")));
        assertEquals("r1", a.next().getWithdraw().getRequest());
        assertEquals(1, a.network.connectionCount());
        PeerCounters.Traffic sent = a.network.counters().byMessageType().get(Frame.BodyCase.ENQUEUE);
        assertEquals(100, sent.sentFrames().sum());
        assertEquals(
                sent.sentBytes().sum(),
                b.network
                        .counters()
                        .byMessageType()
                        .get(Frame.BodyCase.ENQUEUE)
                        .receivedBytes()
                        .sum());
    }

    /** Failure guarded against: a router without the fleet key joins the fleet. */
    @Test
    void wrongFleetKeyIsRefusedOnBothSides() throws Exception {
        Node a = node("a", KEY, true);
        Node stranger = node("s", "other key".getBytes(StandardCharsets.UTF_8), true);
        assertEquals(SendResult.ACCEPTED, stranger.network.send(a.id, enqueue("r")));
        assertEquals(a.id, stranger.lost.poll(5, TimeUnit.SECONDS));
        assertEquals(SendResult.ACCEPTED, a.network.send(stranger.id, enqueue("r")));
        assertEquals(stranger.id, a.lost.poll(5, TimeUnit.SECONDS));
        assertTrue(a.frames.isEmpty());
        assertTrue(stranger.frames.isEmpty());
    }

    /** Failure guarded against: a frame before the hello is executed, or an oversized one allocates its length. */
    @Test
    void unauthenticatedAndOversizedFramesCloseOnlyTheirConnection() throws Exception {
        Node a = node("a", KEY, true);
        Node b = node("b", KEY, true);
        a.network.send(b.id, enqueue("before"));
        assertEquals("before", b.next().getEnqueue().getRequest());
        assertClosesAfter(b, PeerLink.encode(enqueue("intruder")));
        assertClosesAfter(b, new byte[] {0x7f, 0, 0, 0, 1});
        assertClosesAfter(b, new byte[] {0, 0, 0, 3, -1, -1, -1});
        assertEquals(3, b.network.counters().rejectedConnections());
        a.network.send(b.id, enqueue("after"));
        assertEquals("after", b.next().getEnqueue().getRequest());
        assertTrue(b.frames.isEmpty());
    }

    /** Failure guarded against: a request queued at a dead owner waits for ever. */
    @Test
    void lostAndUnreachablePeersAreReported() throws Exception {
        Node a = node("a", KEY, true);
        Node b = node("b", KEY, true);
        a.network.send(b.id, enqueue("r"));
        b.next();
        b.network.close();
        assertEquals(b.id, a.lost.poll(5, TimeUnit.SECONDS));
        a.network.send(b.id, enqueue("r2"));
        assertEquals(b.id, a.lost.poll(5, TimeUnit.SECONDS));
        assertEquals(SendResult.UNKNOWN_PEER, a.network.send(new RouterId("nobody"), enqueue("r3")));
    }

    /** Failure guarded against: a partition that drops packets without closing connections is never noticed. */
    @Test
    void silentPeerInUseCountsAsLost() throws Exception {
        Node a = node("a", KEY, true);
        Node b = node("b", KEY, false);
        a.network.send(b.id, enqueue("r"));
        b.next();
        Thread.sleep(LIMITS.receiveTimeout().toMillis() * 2);
        assertTrue(a.lost.isEmpty(), "probes keep a connection that is in use alive");
        b.network.setPartitionedRouters(router -> true);
        assertEquals(b.id, a.lost.poll(5, TimeUnit.SECONDS));
    }

    /** Failure guarded against: connections pile up to routers times routers. */
    @Test
    void idleConnectionIsClosedWithoutALossAndMadeAgain() throws Exception {
        Node a = node("a", KEY, false);
        Node b = node("b", KEY, false);
        a.network.send(b.id, enqueue("r"));
        b.next();
        long end = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (a.network.connectionCount() > 0 && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertEquals(0, a.network.connectionCount());
        assertTrue(a.lost.isEmpty() && b.lost.isEmpty());
        a.network.send(b.id, enqueue("again"));
        assertEquals("again", b.next().getEnqueue().getRequest());
    }

    /** Failure guarded against: a frame that was accepted while the other side closes an idle connection is lost. */
    @Test
    void framesSentWhileIdleConnectionsCloseAllArriveInOrder() throws Exception {
        Node a = node("a", KEY, false);
        Node b = node("b", KEY, false);
        int rounds = 12;
        for (int i = 0; i < rounds; i++) {
            a.network.send(b.id, enqueue("from a " + i));
            assertEquals("from a " + i, b.next().getEnqueue().getRequest());
            Thread.sleep(LIMITS.idleTimeout().plusMillis(10L * i).toMillis());
            assertEquals(SendResult.ACCEPTED, b.network.send(a.id, enqueue("from b " + i)));
            assertEquals("from b " + i, a.next().getEnqueue().getRequest());
        }
        assertTrue(a.lost.isEmpty() && b.lost.isEmpty());
    }

    /** Failure guarded against: an idle connection is cut off under a frame that the peer has just sent. */
    @Test
    void idleConnectionTakesFramesUntilThePeerSaidGoodbye() throws Exception {
        Node node = node("b", KEY, false);
        int port = Integer.parseInt(node.address.substring(node.address.lastIndexOf(':') + 1));
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(5_000);
            OutputStream output = socket.getOutputStream();
            DataInputStream input = new DataInputStream(socket.getInputStream());
            HelloAuthenticator proof = new HelloAuthenticator(KEY);
            Hello own = Hello.newBuilder()
                    .setProtocolVersion(PeerLimits.PROTOCOL_VERSION)
                    .setRouter("raw")
                    .setIncarnation(1)
                    .setZone("z")
                    .setNonce(proof.newNonce())
                    .build();
            output.write(PeerLink.encode(Frame.newBuilder().setHello(own).build()));
            Hello theirs = read(input).getHello();
            output.write(PeerLink.encode(Frame.newBuilder()
                    .setHello(own.toBuilder().setProof(proof.computeProof(own, true, own.getNonce(), theirs.getNonce())))
                    .build()));
            assertEquals(Frame.BodyCase.GOODBYE, read(input).getBodyCase());
            output.write(PeerLink.encode(enqueue("crossed the goodbye")));
            assertEquals("crossed the goodbye", node.next().getEnqueue().getRequest());
            output.write(PeerLink.encode(
                    Frame.newBuilder().setGoodbye(Goodbye.getDefaultInstance()).build()));
            assertEquals(-1, input.read());
        }
        assertTrue(node.lost.isEmpty());
    }

    /** Failure guarded against: frames that follow a dropped one on the same connection hide the loss. */
    @Test
    void connectionThatLostFramesIsReportedLostAfterThePartition() throws Exception {
        Node a = node("a", KEY, true);
        Node b = node("b", KEY, true);
        a.network.send(b.id, enqueue("before"));
        b.next();
        a.network.setPartitionedRouters(router -> true);
        assertEquals(SendResult.ACCEPTED, a.network.send(b.id, enqueue("dropped")));
        a.network.setPartitionedRouters(router -> false);
        assertEquals(b.id, a.lost.poll(5, TimeUnit.SECONDS));
        assertEquals(a.id, b.lost.poll(5, TimeUnit.SECONDS));
        a.network.send(b.id, enqueue("after"));
        assertEquals("after", b.next().getEnqueue().getRequest());
    }

    /** Failure guarded against: memory grows without bound behind a slow peer. */
    @Test
    void fullQueueAndTooLargeFramesFailExplicitly() throws Exception {
        Node a = node("a", KEY, true);
        RouterId slow = new RouterId("slow");
        try (ServerSocket mute = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            addresses.put(slow, "127.0.0.1:" + mute.getLocalPort());
            Frame frame = enqueue("x".repeat(30_000));
            for (int i = 0; i < 4; i++) {
                assertEquals(SendResult.ACCEPTED, a.network.send(slow, frame));
            }
            assertEquals(SendResult.QUEUE_FULL, a.network.send(slow, frame));
            assertEquals(SendResult.TOO_LARGE, a.network.send(slow, enqueue("x".repeat(70_000))));
            assertEquals(slow, a.lost.poll(5, TimeUnit.SECONDS), "a peer that says no hello counts as lost");
        }
    }

    /** Failure guarded against: frames of a former incarnation are taken for those of the present one. */
    @Test
    void olderIncarnationIsRefused() throws Exception {
        Node b = node("b", KEY, true);
        Node newer = new Node(new RouterId("a"), 8, KEY, true);
        Node older = new Node(new RouterId("a"), 7, KEY, true);
        newer.network.send(b.id, enqueue("new"));
        assertEquals("new", b.next().getEnqueue().getRequest());
        older.network.send(b.id, enqueue("old"));
        assertEquals(b.id, older.lost.poll(5, TimeUnit.SECONDS));
        assertNull(b.frames.poll());
    }

    private static void assertClosesAfter(Node target, byte[] bytes) throws Exception {
        String address = target.address;
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(5_000);
            OutputStream output = socket.getOutputStream();
            output.write(bytes);
            output.flush();
            try {
                assertEquals(-1, new DataInputStream(socket.getInputStream()).read());
            } catch (SocketException e) {
                assertTrue(e.getMessage().contains("reset"), e.getMessage());
            }
        }
    }

    private static Frame read(DataInputStream input) throws Exception {
        return Frame.parseFrom(input.readNBytes(input.readInt()));
    }

    private Node node(String name, byte[] key, boolean inUse) {
        return new Node(new RouterId(name), 1, key, inUse);
    }

    private static Frame enqueue(String request) {
        return Frame.newBuilder()
                .setEnqueue(Enqueue.newBuilder().setRequest(request))
                .build();
    }

    private static Frame withdraw(String request) {
        return Frame.newBuilder()
                .setWithdraw(Withdraw.newBuilder().setRequest(request))
                .build();
    }

    private final class Node implements PeerListener {

        private final RouterId id;
        private final PeerNetwork network;
        private final String address;
        private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
        private final BlockingQueue<RouterId> lost = new LinkedBlockingQueue<>();

        private Node(RouterId id, long incarnation, byte[] key, boolean inUse) {
            this.id = id;
            this.network = new PeerNetwork(
                    new PeerIdentity(id, incarnation, new ZoneName("z")),
                    key,
                    loops,
                    LIMITS,
                    router -> Optional.ofNullable(addresses.get(router)),
                    router -> inUse,
                    this);
            networks.add(network);
            this.address = network.listen("127.0.0.1:0").join();
            addresses.put(id, address);
        }

        private Frame next() throws InterruptedException {
            Frame frame = frames.poll(5, TimeUnit.SECONDS);
            assertTrue(frame != null, "no frame arrived within 5 s");
            return frame;
        }

        @Override
        public void frameReceived(PeerIdentity from, Frame frame) {
            frames.add(frame);
        }

        @Override
        public void peerLost(RouterId peer, String reason) {
            lost.add(peer);
        }
    }
}
