package org.coltsfootquay.decision.shutdown;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against requests that a stopping router takes although it ends before them. */
final class StopWindowTest {

    private static final Duration SECOND = Duration.ofSeconds(1);
    private final StopWindow window = new StopWindow(SECOND.multipliedBy(5).toNanos());

    @Test
    void repeatableRequestIsJudgedByItsExpectedDuration() {
        assertTrue(window.permits(true, SECOND.multipliedBy(12), SECOND.multipliedBy(3), SECOND.toNanos()));
        assertFalse(window.permits(true, SECOND.multipliedBy(12), SECOND.multipliedBy(3), SECOND.toNanos() * 3));
    }

    @Test
    void otherRequestIsJudgedByItsLimit() {
        assertFalse(window.permits(false, SECOND.multipliedBy(12), SECOND, 0));
        assertTrue(window.permits(false, SECOND, SECOND.multipliedBy(9), 0));
    }

    @Test
    void limitBoundsTheExpectedDuration() {
        assertTrue(window.permits(true, SECOND, SECOND.multipliedBy(9), 0));
    }

    @Test
    void nothingIsPermittedAfterTheEnd() {
        assertFalse(window.permits(true, SECOND, Duration.ZERO.plusNanos(1), SECOND.toNanos() * 5));
    }
}
