package org.coltsfootquay.router.neighbor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.metrics.RouterMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against datagrams that are cut off or lost without a trace. */
final class BeaconChannelTest {

    private static final long TIMEOUT_MILLIS = Duration.ofSeconds(5).toMillis();

    private static final int FULL_DATAGRAM_BYTES = 1400;

    private final EventLoopGroup group = ChannelUtils.eventLoops("beacon-channel-test", 1);
    private final BlockingQueue<Beacon> received = new LinkedBlockingQueue<>();
    private final RouterMetrics metrics = new RouterMetrics();
    private final EventLoop eventLoop = group.next();
    private final BeaconChannel channel = new BeaconChannel(eventLoop, received::add, metrics);
    private DatagramChannel peer;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws Exception {
        address = (InetSocketAddress)
                channel.listen("127.0.0.1", 0).sync().channel().localAddress();
        peer = DatagramChannel.open();
    }

    @AfterEach
    void stop() throws IOException {
        peer.close();
        ChannelUtils.shutDown(group).join();
    }

    @Test
    void longestDatagramThatFitsIsReceivedWhole() throws Exception {
        send(3);
        send(BeaconChannel.RECEIVE_BYTES - 1);
        assertEquals(3, received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).getSerializedSize());
        assertEquals(
                BeaconChannel.RECEIVE_BYTES - 1,
                received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).getSerializedSize());
        assertEquals(0, unreadable());
    }

    @Test
    void datagramThatIsCutOffIsCountedAndDiscarded() throws Exception {
        for (int bytes = BeaconChannel.RECEIVE_BYTES; bytes < BeaconChannel.RECEIVE_BYTES + 3; bytes++) {
            send(bytes);
        }
        send(BeaconChannel.RECEIVE_BYTES / 2);
        assertEquals(
                BeaconChannel.RECEIVE_BYTES / 2,
                received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).getSerializedSize());
        assertNull(received.poll());
        assertEquals(3, unreadable());
    }

    @Test
    void beaconsThatArriveWhileTheEventLoopIsBlockedAreReceived() throws Exception {
        int beacons = 150;
        eventLoop
                .submit(() -> {
                    for (int i = 0; i < beacons; i++) {
                        sendNow(beacon(FULL_DATAGRAM_BYTES));
                    }
                })
                .sync();
        for (int i = 0; i < beacons; i++) {
            assertNotNull(received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "beacon " + i);
        }
    }

    private long unreadable() {
        return metrics.counter("coltsfootquay_beacons_unreadable_total").getCount();
    }

    /** Puts a beacon into the receive buffer; unlike {@link #send}, also while the event loop is blocked. */
    private void sendNow(Beacon beacon) {
        try {
            peer.send(ByteBuffer.wrap(beacon.toByteArray()), address);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a beacon of a serialized size. */
    private void send(int bytes) {
        channel.send(beacon(bytes).toByteArray(), address);
    }

    private static Beacon beacon(int bytes) {
        Beacon beacon = Beacon.getDefaultInstance();
        for (int length = bytes; beacon.getSerializedSize() != bytes; length--) {
            beacon = Beacon.newBuilder().setRouter("x".repeat(length)).build();
        }
        return beacon;
    }
}
