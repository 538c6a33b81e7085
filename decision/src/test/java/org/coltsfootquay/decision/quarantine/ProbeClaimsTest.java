package org.coltsfootquay.decision.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against several requests with the same suspected part at servers, and against parts that nobody may try. */
final class ProbeClaimsTest {

    private static final Set<PartKey> PART = Set.of(new PartKey(1));
    private static final Set<PartKey> OTHER_PART = Set.of(new PartKey(2));
    private static final Duration CONTENTION = Duration.ofMillis(300);

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
        advance(Duration.ofSeconds(2));
        assertFalse(peer.tryAcquire(2, PART, now));
        advance(Duration.ofMillis(1_100));
        announce(peer, 2);
        assertEquals(2, peer.takeNews(false).get(0).id());
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
        for (int i = 0; i < 11; i++) {
            exchange();
            advance(Duration.ofSeconds(1));
        }
        announce(peer, 2);
        assertEquals(
                List.of(2L), peer.takeNews(false).stream().map(ProbeClaim::id).toList());
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
            advance(Duration.ofMillis(4));
        }
        advance(CONTENTION);
        assertTrue(peer.tryAcquire(3, OTHER_PART, now));
    }

    @Test
    void claimsAreRepeatedWhileTheRequestIsAtAServer() {
        announce(router, 1);
        router.sent(1, now);
        for (int i = 0; i < 10; i++) {
            router.takeNews(true);
        }
        assertEquals(ProbeClaim.State.SENT, router.takeNews(true).get(0).state());
        router.end(1);
        for (int i = 0; i < 10; i++) {
            router.takeNews(true);
        }
        assertEquals(List.of(), router.takeNews(true));
    }

    private void announce(ProbeClaims claims, long id) {
        announce(claims, id, PART);
    }

    /** Asks until the request is announced, which routers delay by a random time. */
    private void announce(ProbeClaims claims, long id, Set<PartKey> parts) {
        claims.tryAcquire(id, parts, now);
        advance(Duration.ofMillis(10));
        claims.tryAcquire(id, parts, now);
    }

    private void exchange() {
        router.takeNews(true).forEach(claim -> peer.receive(claim, now));
        peer.takeNews(true).forEach(claim -> router.receive(claim, now));
    }

    private void advance(Duration time) {
        now += time.toNanos();
    }
}
