package org.coltsfootquay.decision.peer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.coltsfootquay.decision.common.RouterId;
import org.junit.jupiter.api.Test;

/** Guards against a copy that arrives late because a peer that was asked first does not answer. */
final class CopyRequestsTest {

    private static final RouterId SILENT = new RouterId("silent");
    private static final RouterId OTHER = new RouterId("other");
    private static final long LATER = Duration.ofMillis(100).toNanos();

    private final CopyRequests requests = new CopyRequests();

    @Test
    void anotherPeerIsAskedWhileTheFirstIsSilent() {
        assertTrue(requests.tryStart(SILENT, 0));
        assertTrue(requests.tryStart(OTHER, LATER));
    }

    @Test
    void oneCopyIsRequestedWhileItMayStillArrive() {
        assertTrue(requests.tryStart(SILENT, 0));
        assertFalse(requests.tryStart(OTHER, LATER - 1));
    }

    @Test
    void silentPeerIsNotAskedTwiceAtATime() {
        assertTrue(requests.tryStart(SILENT, 0));
        assertFalse(requests.tryStart(SILENT, LATER));
    }

    @Test
    void peerIsAskedAgainAfterItsRequestEnded() {
        assertTrue(requests.tryStart(SILENT, 0));
        requests.end(SILENT);
        assertTrue(requests.tryStart(SILENT, 1));
    }

    @Test
    void numberOfRequestsIsBounded() {
        for (int i = 0; i < 3; i++) {
            assertTrue(requests.tryStart(new RouterId("silent-" + i), i * LATER));
        }
        assertFalse(requests.tryStart(OTHER, 3 * LATER));
    }
}
