package org.coltsfootquay.decision.freshness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class StoreClockTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final StoreClock clock = new StoreClock();

    @Test
    void hasNoTimeBeforeTheFirstReply() {
        assertEquals(OptionalLong.empty(), clock.millis(0));
        assertEquals(Optional.empty(), clock.since(0, 0));
    }

    @Test
    void replyThatTookLongDoesNotLoosenTheEstimate() {
        clock.recordReply(0, Duration.ofMillis(4).toNanos(), 1_000);
        clock.recordReply(SECOND, 31 * SECOND, 32_000);
        assertEquals(OptionalLong.of(32_001), clock.millis(31 * SECOND));
    }

    @Test
    void quickReplyTightensTheEstimate() {
        clock.recordReply(0, SECOND, 1_500);
        clock.recordReply(2 * SECOND, 2 * SECOND + Duration.ofMillis(2).toNanos(), 2_502);
        assertEquals(OptionalLong.of(2_503), clock.millis(2 * SECOND));
    }

    /** The local clock of a suspended VM stops, so that everything seemed to be younger afterwards. */
    @Test
    void replyCorrectsTheEstimateAfterTheVmWasSuspended() {
        clock.recordReply(0, 0, 1_000);
        clock.recordReply(SECOND, SECOND, 7_000);
        assertEquals(Optional.of(Duration.ofSeconds(6)), clock.since(1_000, SECOND));
    }

    @Test
    void momentOfAnEarlierLifeOfTheStoreHasNoAge() {
        clock.recordReply(0, 0, 500_000);
        clock.recordReply(SECOND, SECOND, 20);
        assertEquals(Optional.empty(), clock.since(500_000, 2 * SECOND));
    }

    @Property
    void ageIsNeverTooSmall(@ForAll long seed) {
        Random random = new Random(seed);
        StoreClock estimate = new StoreClock();
        long storeStartNanos = random.nextInt(1_000_000) * 1_000L;
        long localNanos = random.nextInt();
        long elapsedNanos = 0;
        for (int call = 0; call < 50; call++) {
            long sentNanos = elapsedNanos;
            long madeNanos = sentNanos + random.nextInt(2_000_000_000);
            elapsedNanos = madeNanos + random.nextInt(1_000_000_000);
            long madeMillis = (storeStartNanos + madeNanos) / 1_000_000;
            estimate.recordReply(localNanos + sentNanos, localNanos + elapsedNanos, madeMillis);
            long trueMillis = (storeStartNanos + elapsedNanos) / 1_000_000;
            assertTrue(estimate.millis(localNanos + elapsedNanos).getAsLong() >= trueMillis);
        }
    }
}
