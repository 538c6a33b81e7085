package org.coltsfootquay.decision.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.coltsfootquay.decision.common.ServerName;
import org.junit.jupiter.api.Test;

/** Guards against quarantines that other routers do not learn, that never end, or that a wrong report begins. */
final class PartQuarantineTest {

    private static final PartKey DEADLY = new PartKey(1);
    private static final PartKey SOUND = new PartKey(2);
    private static final Set<PartKey> REQUEST = Set.of(DEADLY, SOUND);
    private static final Duration CRASH_INTERVAL = Duration.ofMillis(200);

    private final List<String> events = new ArrayList<>();
    private final PartQuarantine router = newRouter();
    private final PartQuarantine peer = newRouter();
    private long now = Duration.ofHours(2).toNanos();
    private int servers;

    @Test
    void requestIsRejectedOnceItsPartIsProved() {
        crashTwice();
        assertTrue(router.check(REQUEST, now).isEmpty());
        router.recordCrash(report(DEADLY), now);
        assertTrue(router.check(REQUEST, now).isPresent());
        assertTrue(router.check(Set.of(SOUND), now).isEmpty());
    }

    @Test
    void rejectionIsFinalOnlyAfterTheSettlingTime() {
        quarantine();
        assertFalse(router.check(REQUEST, now).orElseThrow().settled());
        advance(PartQuarantine.SETTLING_TIME);
        assertTrue(router.check(REQUEST, now).orElseThrow().settled());
    }

    @Test
    void crashesOfSeveralRoutersAddUp() {
        crashTwice();
        peer.recordCrash(report(DEADLY), now);
        exchange();
        assertTrue(router.check(REQUEST, now).isPresent());
        assertTrue(peer.check(REQUEST, now).isPresent());
    }

    /** All but one of the datagrams with a crash may be lost. */
    @Test
    void newsIsRepeated() {
        crashTwice();
        router.takeNews(false, now);
        router.takeNews(false, now);
        peer.recordCrash(report(DEADLY), now);
        exchange();
        assertTrue(peer.check(REQUEST, now).isPresent());
    }

    @Test
    void newsEndsAfterSomeRepetitions() {
        router.recordCrash(report(DEADLY), now);
        for (int i = 0; i < 4; i++) {
            assertTrue(router.hasNews());
            router.takeNews(false, now);
        }
        assertFalse(router.hasNews());
        assertTrue(router.takeNews(true, now).isEmpty());
    }

    @Test
    void routerThatJoinsLearnsAQuarantine() {
        quarantine();
        for (int i = 0; i < 10; i++) {
            router.takeNews(false, now);
        }
        advance(Duration.ofSeconds(30));
        peer.receive(router.takeNews(true, now), now);
        assertTrue(peer.check(REQUEST, now).isPresent());
    }

    @Test
    void routerThatJoinsLearnsThatExposureIsLimited() {
        crashTwice();
        for (int i = 0; i < 10; i++) {
            router.takeNews(false, now);
        }
        advance(Duration.ofSeconds(30));
        peer.receive(router.takeNews(true, now), now);
        assertFalse(peer.tryProbe(1, REQUEST, now));
    }

    @Test
    void crashesOfAPartWithLimitedExposureAreRepeatedAtIntervals() {
        crashTwice();
        for (int i = 0; i < 10; i++) {
            router.takeNews(true, now);
        }
        assertTrue(router.takeNews(true, now).isEmpty());
        advance(Duration.ofMillis(200));
        assertFalse(router.takeNews(true, now).isEmpty());
    }

    @Test
    void quarantineIsRepeatedAtIntervals() {
        quarantine();
        for (int i = 0; i < 10; i++) {
            router.takeNews(true, now);
        }
        assertTrue(router.takeNews(true, now).isEmpty());
        advance(Duration.ofMillis(200));
        assertFalse(router.takeNews(true, now).isEmpty());
    }

    @Test
    void answerOfAnotherRouterAcquitsAPart() {
        peer.recordAnswer(Set.of(SOUND), now);
        for (int i = 0; i < 3; i++) {
            router.recordCrash(report(SOUND), now);
        }
        assertTrue(router.check(REQUEST, now).isPresent());
        exchange();
        advance(Duration.ofMillis(1));
        peer.recordAnswer(Set.of(SOUND), now);
        exchange();
        assertTrue(router.check(REQUEST, now).isEmpty());
        assertEquals(List.of("quarantined 2", "released 2"), events.subList(0, 2));
    }

    @Test
    void oneTrialIsLetThroughAfterTheQuarantine() {
        quarantine();
        advance(PartQuarantine.INITIAL_DURATION.minusMillis(1));
        assertTrue(router.check(REQUEST, now).isPresent());
        advance(Duration.ofSeconds(10));
        assertTrue(router.check(REQUEST, now).isEmpty());
        router.recordSent(REQUEST, now);
        assertTrue(router.check(REQUEST, now).isPresent());
    }

    @Test
    void trialThatIsAnsweredEndsTheQuarantineOfAllRouters() {
        quarantine();
        exchange();
        advance(PartQuarantine.INITIAL_DURATION.plusSeconds(10));
        router.recordSent(REQUEST, now);
        router.recordAnswer(REQUEST, now);
        exchange();
        assertTrue(router.check(REQUEST, now).isEmpty());
        assertTrue(peer.check(REQUEST, now).isEmpty());
        assertEquals(0, router.size() + peer.size());
    }

    @Test
    void trialThatCrashesAServerDoublesTheQuarantine() {
        quarantine();
        advance(PartQuarantine.INITIAL_DURATION.plusSeconds(10));
        router.recordCrash(report(DEADLY), now);
        advance(PartQuarantine.INITIAL_DURATION.multipliedBy(2).minusMillis(1));
        assertTrue(router.check(REQUEST, now).isPresent());
        advance(Duration.ofSeconds(10));
        assertTrue(router.check(REQUEST, now).isEmpty());
    }

    @Test
    void implausibleAgesAreIgnored() {
        for (int i = 0; i < 5; i++) {
            peer.receive(
                    new QuarantineNews(
                            Map.of(report(DEADLY), Duration.ofDays(1)),
                            Map.of(SOUND, Duration.ofSeconds(-1)),
                            List.of()),
                    now);
        }
        assertTrue(peer.check(REQUEST, now).isEmpty());
    }

    /** A router that invents crashes must not keep a part from being served that other routers see answered. */
    @Test
    void falseReportsDoNotOutlastAnAnswer() {
        for (int i = 0; i < 10; i++) {
            peer.receive(new QuarantineNews(Map.of(report(SOUND), Duration.ZERO), Map.of(), List.of()), now);
        }
        advance(Duration.ofMillis(50));
        peer.recordAnswer(Set.of(SOUND), now);
        assertTrue(peer.check(Set.of(SOUND), now).isEmpty());
    }

    private void crashTwice() {
        router.recordCrash(report(DEADLY), now);
        router.recordCrash(report(DEADLY), now);
    }

    private void quarantine() {
        crashTwice();
        router.recordCrash(report(DEADLY), now);
    }

    private void exchange() {
        peer.receive(router.takeNews(true, now), now);
        router.receive(peer.takeNews(true, now), now);
    }

    private void advance(Duration time) {
        now += time.toNanos();
    }

    private CrashReport report(PartKey part) {
        // Other routers can tell the crashes apart.
        advance(CRASH_INTERVAL);
        return new CrashReport(
                new ServerName("s" + servers++),
                1,
                List.of(new UnansweredPart(part, new PartKey(1_000 + servers), Duration.ZERO)));
    }

    private PartQuarantine newRouter() {
        QuarantineListener listener = new QuarantineListener() {
            @Override
            public void quarantined(String parts, List<String> servers) {
                events.add("quarantined " + parts);
            }

            @Override
            public void released(String parts) {
                events.add("released " + parts);
            }

            @Override
            public void newsAdded() {}
        };
        return new PartQuarantine(listener, () -> 2, new Random(1));
    }
}
