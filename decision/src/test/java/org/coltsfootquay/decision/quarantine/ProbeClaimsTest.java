package org.coltsfootquay.decision.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against suspected parts that several requests have at servers at a time, or that none may ever have there. */
final class ProbeClaimsTest {

    private static final Set<PartKey> PART = Set.of(new PartKey(1));
    private static final Set<PartKey> OTHER_PART = Set.of(new PartKey(2));

    /** More than the contention time of two routers. */
    private static final Duration CONTENTION = Duration.ofMillis(300);

    /** More than the time over which two routers spread their announcements. */
    private static final Duration ANNOUNCEMENT_DELAY = Duration.ofMillis(10);

    /** Time between two checks of waiting requests, less than {@link #ANNOUNCEMENT_DELAY}. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(4);

    private static final Duration BEACON_PERIOD = Duration.ofSeconds(1);

    private final ProbeClaims router = new ProbeClaims(() -> 2, new Random(1));
    private final ProbeClaims peer = new ProbeClaims(() -> 2, new Random(2));
    private long now = Duration.ofHours(1).toNanos();

    @Test
    void onlyRouterOfAFleetSendsAtOnce() {
        ProbeClaims single = new ProbeClaims(() -> 1, new Random(1));
        assertTrue(single.tryAcquire(1, PART, now));
        single.sent(1, now);
        assertFalse(single.tryAcquire(2, PART, now));
        assertTrue(single.tryAcquire(3, OTHER_PART, now));
    }

    @Test
    void otherRoutersMayObjectBeforeARequestIsSent() {
        announce(router, 1);
        assertFalse(router.tryAcquire(1, PART, now));
        advance(CONTENTION);
        assertTrue(router.tryAcquire(1, PART, now));
    }

    @Test
    void oneOfTwoRequestsThatAreAnnouncedAtTheSameTimeIsSent() {
        announce(router, 1);
        announce(peer, 2);
        exchange();
        advance(CONTENTION);
        assertTrue(router.tryAcquire(1, PART, now));
        assertFalse(peer.tryAcquire(2, PART, now));
    }

    /** The announcement of a request that was sent had been lost. */
    @Test
    void requestThatWasSentPrecedesOneWithALowerNumber() {
        announce(router, 2);
        advance(CONTENTION);
        router.sent(2, now);
        announce(peer, 1);
        exchange();
        exchange();
        advance(CONTENTION);
        assertFalse(peer.tryAcquire(1, PART, now));
    }

    @Test
    void nextRequestIsSentAfterTheEndOfTheFirst() {
        announce(router, 1);
        advance(CONTENTION);
        router.sent(1, now);
        exchange();
        assertFalse(peer.tryAcquire(2, PART, now));
        router.end(1);
        exchange();
        announce(peer, 2);
        advance(CONTENTION);
        assertTrue(peer.tryAcquire(2, PART, now));
    }

    @Test
    void requestOfARouterThatStopsLapses() {
        announce(router, 1);
        advance(CONTENTION);
        router.sent(1, now);
        exchange();
        advance(ProbeClaims.LAPSE_TIME);
        assertFalse(peer.tryAcquire(2, PART, now));
        advance(ANNOUNCEMENT_DELAY);
        announce(peer, 2);
        assertEquals(2, peer.takeNews(false, now).get(0).id());
    }

    @Test
    void requestThatEndsWhileItWaitsHoldsUpNoOther() {
        announce(router, 1);
        exchange();
        advance(CONTENTION);
        assertFalse(peer.tryAcquire(2, PART, now));
        advance(CONTENTION.multipliedBy(2));
        announce(peer, 2);
        advance(CONTENTION);
        assertTrue(peer.tryAcquire(2, PART, now));
    }

    @Test
    void requestThatIsNeitherAnsweredNorCrashesAServerHoldsUpOthersForALimitedTime() {
        announce(router, 1);
        advance(CONTENTION);
        router.sent(1, now);
        exchangeUntilProbeTimeIsOver();
        announce(peer, 2);
        assertEquals(
                List.of(2L),
                peer.takeNews(false, now).stream().map(ProbeClaim::id).toList());
    }

    /** A router repeated such a request in each beacon, so that the others took it for a new one. */
    @Test
    void requestPastItsTimeIsNotRepeatedToOtherRouters() {
        announce(router, 1);
        advance(CONTENTION);
        router.sent(1, now);
        exchangeUntilProbeTimeIsOver();
        exchange();
        announce(peer, 2);
        exchange();
        advance(CONTENTION);
        assertTrue(peer.tryAcquire(2, PART, now));
    }

    @Test
    void requestOfAnotherPartIsNotHeldUp() {
        announce(router, 1);
        exchange();
        announce(peer, 2, OTHER_PART);
        advance(CONTENTION);
        assertTrue(peer.tryAcquire(2, OTHER_PART, now));
    }

    /** Each check of a request that was held up delayed the announcements of all others. */
    @Test
    void requestIsAnnouncedBesideOneThatIsHeldUp() {
        announce(router, 1);
        exchange();
        for (int i = 0; i < 3; i++) {
            peer.tryAcquire(2, PART, now);
            peer.tryAcquire(3, OTHER_PART, now);
            advance(CHECK_INTERVAL);
        }
        advance(CONTENTION);
        assertTrue(peer.tryAcquire(3, OTHER_PART, now));
    }

    @Test
    void claimsAreRepeatedWhileTheRequestIsAtAServer() {
        announce(router, 1);
        router.sent(1, now);
        for (int i = 0; i < 10; i++) {
            router.takeNews(true, now);
        }
        assertEquals(ProbeClaim.State.SENT, router.takeNews(true, now).get(0).state());
        router.end(1);
        for (int i = 0; i < 10; i++) {
            router.takeNews(true, now);
        }
        assertEquals(List.of(), router.takeNews(true, now));
    }

    private void announce(ProbeClaims claims, long id) {
        announce(claims, id, PART);
    }

    /** Asks until the request is announced, which routers delay by a random time. */
    private void announce(ProbeClaims claims, long id, Set<PartKey> parts) {
        claims.tryAcquire(id, parts, now);
        advance(ANNOUNCEMENT_DELAY);
        claims.tryAcquire(id, parts, now);
    }

    private void exchangeUntilProbeTimeIsOver() {
        for (long age = 0; age <= ProbeClaims.MAX_PROBE_TIME.toSeconds(); age += BEACON_PERIOD.toSeconds()) {
            exchange();
            advance(BEACON_PERIOD);
        }
    }

    private void exchange() {
        router.takeNews(true, now).forEach(claim -> peer.receive(claim, now));
        peer.takeNews(true, now).forEach(claim -> router.receive(claim, now));
    }

    private void advance(Duration time) {
        now += time.toNanos();
    }
}
