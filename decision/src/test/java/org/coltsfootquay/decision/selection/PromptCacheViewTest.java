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
        view.read(SERVER, 1, 100, 1000);
        assertTrue(view.keeps(SERVER, 1));
    }

    @Test
    void leastRecentlyUsedPartYields() {
        view.read(SERVER, 1, 250, 1000);
        view.read(SERVER, 2, 250, 1000);
        view.read(SERVER, 1, 250, 1000);
        view.read(SERVER, 3, 250, 1000);
        assertTrue(view.keeps(SERVER, 1));
        assertFalse(view.keeps(SERVER, 2));
    }

    @Test
    void restartedServerKeepsNothing() {
        view.read(SERVER, 1, 100, 1000);
        view.forget(SERVER);
        assertFalse(view.keeps(SERVER, 1));
    }

    @Test
    void homeIsTrustedWithPartsThatWereNotHeardOf() {
        view.trustHomes(true);
        assertTrue(view.homeKeeps(1));
    }

    @Test
    void homeIsNotTrustedOnceAPartWasHeardOf() {
        view.trustHomes(true);
        view.read(SERVER, 1, 100, 1000);
        assertFalse(view.homeKeeps(1));
    }

    @Test
    void trustEnds() {
        view.trustHomes(true);
        view.trustHomes(false);
        assertFalse(view.homeKeeps(1));
    }
}
