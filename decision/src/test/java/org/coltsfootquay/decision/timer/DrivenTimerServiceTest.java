package org.coltsfootquay.decision.timer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against timers that run early, out of order, or in a burst after a pause. */
final class DrivenTimerServiceTest {

    @Property(seed = "20261204", tries = 200)
    void delayedTasksRunInOrderOfDueTime(@ForAll @Size(max = 20) List<@IntRange(min = 0, max = 50) Integer> delays) {
        DrivenTimerService timers = new DrivenTimerService(0);
        List<Integer> ran = new ArrayList<>();
        delays.forEach(delay -> timers.scheduleOnce("task", Duration.ofNanos(delay), () -> ran.add(delay)));

        timers.advance(50);

        assertEquals(delays.stream().sorted().toList(), ran);
    }

    @Test
    void periodicTaskDoesNotCatchUpAfterPause() {
        DrivenTimerService timers = new DrivenTimerService(0);
        List<Long> ran = new ArrayList<>();
        timers.schedulePeriodic("task", Duration.ofNanos(10), () -> ran.add(timers.nowNanos()));

        timers.advance(10);
        timers.advance(95);
        timers.advance(100);

        assertEquals(3, ran.size(), "one run at 10, one after the pause, one at 100");
    }

    @Test
    void cancelledTaskDoesNotRun() {
        DrivenTimerService timers = new DrivenTimerService(0);
        List<String> ran = new ArrayList<>();
        timers.scheduleOnce("task", Duration.ofNanos(5), () -> ran.add("ran")).cancel();

        timers.advance(10);

        assertEquals(List.of(), ran);
    }
}
