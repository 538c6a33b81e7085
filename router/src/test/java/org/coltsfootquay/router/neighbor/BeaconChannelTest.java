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
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.metrics.RouterMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against datagrams that are cut off, lost or read late without a trace. */
final class BeaconChannelTest {

    private static final long TIMEOUT_MILLIS = Duration.ofSeconds(5).toMillis();

    /** Datagrams of 94 peers in 100 ms, at a beacon and four updates a second each. */
    private static final int DATAGRAMS_PER_ITERATION = 47;

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

    /** Routers short of processor time read beacons that were seconds old, and lost the latest ones. */
    @Test
    void beaconsOfALargeFleetAreReadInTheNextIterationOfASlowEventLoop() throws Exception {
        int iterations = 100;
        AtomicInteger iteration = new AtomicInteger();
        List<Long> delays = new ArrayList<>();
        eachIteration(iterations + 1, () -> {
            int current = iteration.incrementAndGet();
            received.forEach(beacon -> delays.add(current - beacon.getSequence()));
            received.clear();
            for (int i = 0; i < DATAGRAMS_PER_ITERATION && current <= iterations; i++) {
                sendNow(beacon(FULL_DATAGRAM_BYTES).toBuilder()
                        .setSequence(current)
                        .build());
            }
        });
        assertEquals(iterations * DATAGRAMS_PER_ITERATION, delays.size());
        assertEquals(1, Collections.max(delays));
    }

    @Test
    void beaconsThatArriveWhileTheEventLoopIsBlockedAreReceived() throws Exception {
        int beacons = 150;
        eachIteration(1, () -> {
            for (int i = 0; i < beacons; i++) {
                sendNow(beacon(FULL_DATAGRAM_BYTES));
            }
        });
        for (int i = 0; i < beacons; i++) {
            assertNotNull(received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "beacon " + i);
        }
    }

    @Test
    void iterationReadsABoundedNumberOfBeacons() throws Exception {
        List<Integer> counts = new ArrayList<>();
        int beacons = BeaconChannel.MAX_READS + 1;
        eachIteration(4, () -> {
            counts.add(received.size());
            received.clear();
            if (counts.size() == 1) {
                for (int i = 0; i < beacons; i++) {
                    sendNow(beacon(3));
                }
            }
        });
        assertEquals(List.of(0, BeaconChannel.MAX_READS, 1, 0), counts);
        assertEquals(1, metrics.counter("coltsfootquay_beacon_backlogs_total").getCount());
    }

    private long unreadable() {
        return metrics.counter("coltsfootquay_beacons_unreadable_total").getCount();
    }

    /** Runs a task once in each of a number of iterations of the event loop, and waits for the last one. */
    private void eachIteration(int iterations, Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        eventLoop.execute(() -> runIteration(iterations, task, done));
        done.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void runIteration(int remaining, Runnable task, CompletableFuture<Void> done) {
        try {
            task.run();
        } catch (RuntimeException e) {
            done.completeExceptionally(e);
            return;
        }
        if (remaining == 1) {
            done.complete(null);
        } else {
            // Unlike execute(), a timer does not run again in the same iteration.
            var unused = eventLoop.schedule(() -> runIteration(remaining - 1, task, done), 1, TimeUnit.NANOSECONDS);
        }
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
