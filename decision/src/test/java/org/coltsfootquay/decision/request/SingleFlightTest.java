package org.coltsfootquay.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.junit.jupiter.api.Test;

/** Guards against answers that cross workspaces, that are older than the request, or that a leaving caller cancels. */
final class SingleFlightTest {

    private static final SingleFlight.Key KEY = key("archive");
    private static final RequestId ONE = new RequestId("1");
    private static final RequestId TWO = new RequestId("2");

    private final SingleFlight flights = new SingleFlight();

    @Test
    void identicalRequestsShareOneFlow() {
        assertEquals(ONE, flights.join(KEY, ONE));
        assertEquals(ONE, flights.join(KEY, TWO));
        assertEquals(List.of(ONE, TWO), List.copyOf(flights.finish(ONE)));
        assertEquals(0, flights.size());
    }

    @Test
    void anotherWorkspaceStartsItsOwnFlow() {
        flights.join(KEY, ONE);
        assertEquals(TWO, flights.join(key("other"), TWO));
    }

    @Test
    void requestAfterTheSendStartsANewFlow() {
        flights.join(KEY, ONE);
        flights.markSent(ONE);
        assertEquals(TWO, flights.join(KEY, TWO));
        assertNotEquals(flights.finish(ONE), flights.finish(TWO));
    }

    @Test
    void flowEndsWhenItsLastCallerDisconnects() {
        flights.join(KEY, ONE);
        flights.join(KEY, TWO);
        assertFalse(flights.removeCaller(ONE, ONE));
        assertTrue(flights.removeCaller(ONE, TWO));
        assertEquals(0, flights.size());
    }

    private static SingleFlight.Key key(String workspace) {
        return new SingleFlight.Key(new WorkspaceId(workspace), "GET /drawings/7", "digest");
    }
}
