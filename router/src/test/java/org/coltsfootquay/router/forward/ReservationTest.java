package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.selection.LoadTracker;
import org.coltsfootquay.decision.selection.Prompt;
import org.coltsfootquay.decision.selection.PromptPart;
import org.coltsfootquay.decision.selection.SelectedServer;
import org.coltsfootquay.decision.selection.ServerLoad;
import org.junit.jupiter.api.Test;

/** Verifies that the load of a request is removed when it ends; leftover load would divert requests from a server. */
final class ReservationTest {

    private static final Prompt PROMPT =
            new Prompt(List.of(new PromptPart("shared", 100), new PromptPart("own", 30)), 130, 10);

    private final LoadTracker loads = new LoadTracker();
    private final Reservation reservation = new Reservation(loads);

    @Test
    void reservationAddsRequestAndUnreadTokens() {
        reservation.reserve(selectedServer("a", 130), PROMPT);
        assertEquals(new ServerLoad(1, 130, 40), loads.totalLoad(new ServerName("a")));
    }

    @Test
    void processedPromptIsRemovedFromUnreadTokensOnce() {
        reservation.reserve(selectedServer("a", 130), PROMPT);
        reservation.promptProcessed();
        reservation.promptProcessed();
        assertEquals(new ServerLoad(1, 0, 40), loads.totalLoad(new ServerName("a")));
    }

    @Test
    void secondReleaseHasNoEffect() {
        reservation.reserve(selectedServer("a", 130), PROMPT);
        reservation.release();
        reservation.release();
        assertEquals(ServerLoad.NONE, loads.totalLoad(new ServerName("a")));
    }

    @Test
    void unreadTokensAreOverdueOnceTheFirstEventIsLate() {
        reservation.reserve(selectedServer("a", 130), PROMPT);
        reservation.expectFirstEventBy(50);
        assertTrue(reservation.updateOverdue(49));
        assertEquals(0, loads.totalLoad(new ServerName("a")).overdueTokens());
        assertTrue(reservation.updateOverdue(50));
        assertEquals(130, loads.totalLoad(new ServerName("a")).overdueTokens());
    }

    @Test
    void processedPromptIsNoLongerOverdue() {
        reservation.reserve(selectedServer("a", 130), PROMPT);
        reservation.expectFirstEventBy(50);
        reservation.updateOverdue(60);
        reservation.promptProcessed();
        assertFalse(reservation.updateOverdue(70));
        assertEquals(new ServerLoad(1, 0, 40), loads.totalLoad(new ServerName("a")));
    }

    @Test
    void newReservationReplacesThePreviousOne() {
        reservation.reserve(selectedServer("a", 130), PROMPT);
        reservation.reserve(selectedServer("b", 30), PROMPT);
        assertEquals(ServerLoad.NONE, loads.totalLoad(new ServerName("a")));
        assertEquals(new ServerLoad(1, 30, 40), loads.totalLoad(new ServerName("b")));
    }

    private static SelectedServer selectedServer(String server, long prefillTokens) {
        BackendEntry entry = new BackendEntry(
                new ServerName(server),
                new ServiceName("service"),
                "10.0.0.1",
                80,
                new ZoneName("z"),
                8,
                false,
                Duration.ZERO,
                1);
        return new SelectedServer(
                entry,
                prefillTokens,
                0,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ZERO);
    }
}
