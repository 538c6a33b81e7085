package org.coltsfootquay.router.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.decision.timer.TimerService.ScheduledTask;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.metrics.RouterMetrics;
import org.coltsfootquay.router.neighbor.BeaconChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against timeouts that expire after a pause although the response waits in a socket. */
final class EventLoopTimersTest {

    private static final long TIMEOUT_MILLIS = Duration.ofSeconds(5).toMillis();
    private static final Duration DELAY = Duration.ofMillis(50);
    private static final int LATE_MILLIS = 200;

    private final EventLoopGroup group = ChannelUtils.eventLoops("timers-test", 1);
    private final EventLoop eventLoop = group.next();
    private final EventLoopTimers timers = new EventLoopTimers(eventLoop);
    private final List<String> events = new CopyOnWriteArrayList<>();
    private final CountDownLatch paused = new CountDownLatch(1);
    private final CountDownLatch pauseEnd = new CountDownLatch(1);
    private final CountDownLatch done = new CountDownLatch(2);

    @AfterEach
    void stop() {
        ChannelUtils.shutDown(group).join();
    }

    /** A process that was stopped for some seconds declared all its peers lost, and its calls to the store failed. */
    @Test
    void taskThatIsLateRunsAfterTheSocketsAreRead() throws Exception {
        BeaconChannel channel = new BeaconChannel(eventLoop, beacon -> record("received"), new RouterMetrics());
        InetSocketAddress address = (InetSocketAddress)
                channel.listen("127.0.0.1", 0).sync().channel().localAddress();
        pauseAndRunLateTask();
        assertTrue(paused.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            byte[] beacon = Beacon.newBuilder().setRouter("r").build().toByteArray();
            socket.send(new DatagramPacket(beacon, beacon.length, address));
            pauseEnd.countDown();
        }
        assertTrue(done.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        assertEquals(List.of("received", "task"), events);
    }

    @Test
    void taskThatIsCancelledWhileItIsLateDoesNotRun() throws Exception {
        pauseEnd.countDown();
        ScheduledTask task = pauseAndRunLateTask();
        Future<?> cancelled = eventLoop.submit(task::cancel);
        assertTrue(cancelled.await(TIMEOUT_MILLIS));
        Future<?> later = eventLoop.schedule(() -> {}, DELAY.toMillis(), TimeUnit.MILLISECONDS);
        assertTrue(later.await(TIMEOUT_MILLIS));
        assertEquals(List.of(), events);
    }

    @Test
    void periodicTaskRunsOnceAfterAPause() throws Exception {
        CountDownLatch ran = new CountDownLatch(1);
        ScheduledTask[] task = new ScheduledTask[1];
        Future<?> paused = eventLoop.submit(() -> {
            task[0] = timers.schedulePeriodic("task", DELAY, () -> {
                record("task");
                task[0].cancel();
                ran.countDown();
            });
            sleep(LATE_MILLIS);
        });
        assertTrue(paused.await(TIMEOUT_MILLIS));
        assertTrue(ran.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        Future<?> later = eventLoop.schedule(() -> {}, DELAY.toMillis(), TimeUnit.MILLISECONDS);
        assertTrue(later.await(TIMEOUT_MILLIS));
        assertEquals(List.of("task"), events);
    }

    /** Schedules a pause and a task for the same time, so that the event loop finds both due at once. */
    private ScheduledTask pauseAndRunLateTask() throws Exception {
        return eventLoop
                .submit(() -> {
                    var unused = eventLoop.schedule(this::pause, DELAY.toMillis(), TimeUnit.MILLISECONDS);
                    ScheduledTask task = timers.scheduleOnce("task", DELAY, () -> record("task"));
                    // The event loop finds both tasks due when this one ends.
                    sleep(2 * DELAY.toMillis());
                    return task;
                })
                .get();
    }

    private void pause() {
        paused.countDown();
        sleep(LATE_MILLIS);
        try {
            assertTrue(pauseEnd.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void record(String event) {
        events.add(event);
        done.countDown();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
