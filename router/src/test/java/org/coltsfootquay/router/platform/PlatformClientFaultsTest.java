package org.coltsfootquay.router.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.coltsfootquay.decision.store.RowCondition;
import org.coltsfootquay.decision.store.RowValue;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.standin.fault.Faults;
import org.coltsfootquay.standin.fault.Outage;
import org.coltsfootquay.standin.platform.PlatformStandIn;
import org.junit.jupiter.api.Test;

/** Guards against a reported outcome that contradicts the store, and against missing or duplicate callbacks. */
final class PlatformClientFaultsTest {

    private static final int WRITES = 400;
    private static final int SLOW_MILLIS = 150;
    private static final long SEED = 42;

    private final Map<String, WriteOutcome> outcomes = new ConcurrentHashMap<>();
    private final AtomicInteger callbacks = new AtomicInteger();

    @Test
    void outcomesMatchTheStoreUnderChangingFaults() throws Exception {
        Random random = new Random(SEED);
        EventLoopGroup eventLoops = ChannelUtils.eventLoops("test-faults", 2);
        try (PlatformStandIn platform = new PlatformStandIn().start();
                PlatformClient client = new PlatformClient(settings(platform), eventLoops, Runnable::run, random)) {
            Semaphore permits = new Semaphore(16);
            for (int i = 0; i < WRITES; i++) {
                assertTrue(permits.tryAcquire(10, TimeUnit.SECONDS), "no callback within 10 s");
                if (i % 10 == 0) {
                    Faults faults = randomFaults(random);
                    platform.faults().turn(old -> faults);
                }
                write(client, "k" + i, permits);
            }
            assertTrue(permits.tryAcquire(16, 10, TimeUnit.SECONDS), "callbacks are missing");
            awaitDelayedWrites(platform);

            assertEquals(WRITES, callbacks.get());
            Map<WriteOutcome, Integer> counts = new EnumMap<>(WriteOutcome.class);
            outcomes.forEach((key, outcome) -> {
                counts.merge(outcome, 1, Integer::sum);
                if (outcome != WriteOutcome.UNKNOWN) {
                    assertEquals(
                            outcome == WriteOutcome.APPLIED, platform.row(key).isPresent(), key);
                }
            });
            assertEquals(3, counts.size(), "the faults must produce all three outcomes: " + counts);
        } finally {
            ChannelUtils.shutDown(eventLoops).get(10, TimeUnit.SECONDS);
        }
    }

    private static PlatformClientSettings settings(PlatformStandIn platform) {
        return new PlatformClientSettings(
                platform.address(), Duration.ofMillis(100), 8, 16, 3, Duration.ofMillis(1), Duration.ofMillis(5));
    }

    private void write(PlatformClient client, String key, Semaphore permits) {
        RowWrite put = new RowWrite.Put(key, RowValue.empty(), new RowCondition.Absent(), Optional.empty());
        client.tableStore().writeIndependently(List.of(put), results -> {
            callbacks.incrementAndGet();
            outcomes.put(key, results.get(0).outcome());
            permits.release();
        });
    }

    /** Waits for all delayed writes; they take effect in order of their delay, so a final one is applied after them. */
    private static void awaitDelayedWrites(PlatformStandIn platform) throws Exception {
        platform.faults().turn(old -> Faults.none().withSlowMillis(SLOW_MILLIS));
        EventLoopGroup eventLoops = ChannelUtils.eventLoops("test-last", 1);
        try (PlatformClient client = new PlatformClient(
                PlatformClientSettings.of(platform.address()), eventLoops, Runnable::run, new Random(SEED))) {
            CompletableFuture<WriteOutcome> last = new CompletableFuture<>();
            client.objectStore().put("last", new byte[0], last::complete);
            assertEquals(WriteOutcome.APPLIED, last.get(10, TimeUnit.SECONDS));
        } finally {
            ChannelUtils.shutDown(eventLoops).get(10, TimeUnit.SECONDS);
        }
    }

    private static Faults randomFaults(Random random) {
        Faults none = Faults.none();
        return switch (random.nextInt(8)) {
            case 0 -> none.withOutage(Outage.UNAVAILABLE);
            case 1 -> none.withOutage(Outage.BROKEN);
            case 2 -> none.withOutage(Outage.SILENT);
            case 3 -> none.withThrottle(true);
            case 4 -> none.withSlowMillis(SLOW_MILLIS);
            case 5 -> none.withLoseOneAnswerIn(3);
            default -> none;
        };
    }
}
