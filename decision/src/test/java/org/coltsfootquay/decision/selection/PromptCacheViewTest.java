package org.coltsfootquay.decision.selection;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.coltsfootquay.decision.common.ServerName;
import org.junit.jupiter.api.Test;

/** Guards against a view that believes more than a server's memory can hold. */
final class PromptCacheViewTest {

    private static final ServerName SERVER = new ServerName("s1");

    private final PromptCacheView view = new PromptCacheView();

    @Test
    void partThatWasReadIsKept() {
        view.recordRead(SERVER, 1, 100, 1000);
        assertTrue(view.isCached(SERVER, 1));
    }

    @Test
    void leastRecentlyUsedPartYields() {
        view.recordRead(SERVER, 1, 250, 1000);
        view.recordRead(SERVER, 2, 250, 1000);
        view.recordRead(SERVER, 1, 250, 1000);
        view.recordRead(SERVER, 3, 250, 1000);
        assertTrue(view.isCached(SERVER, 1));
        assertFalse(view.isCached(SERVER, 2));
    }

    @Test
    void restartedServerKeepsNothing() {
        view.recordRead(SERVER, 1, 100, 1000);
        view.removeServer(SERVER);
        assertFalse(view.isCached(SERVER, 1));
    }

    @Test
    void homeIsTrustedWithPartsThatWereNotHeardOf() {
        view.setAssumeHomesCached(true);
        assertTrue(view.isAssumedCachedAtHome(1));
    }

    @Test
    void homeIsNotTrustedOnceAPartWasHeardOf() {
        view.setAssumeHomesCached(true);
        view.recordRead(SERVER, 1, 100, 1000);
        assertFalse(view.isAssumedCachedAtHome(1));
    }

    @Test
    void trustEnds() {
        view.setAssumeHomesCached(true);
        view.setAssumeHomesCached(false);
        assertFalse(view.isAssumedCachedAtHome(1));
    }
}
