package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Requests that wait because another one with the same suspected prompt part may be at a server; runs on the event
 * loop.
 *
 * <p>They are checked again at short intervals, the one that has waited longest first, because what they wait for
 * depends on messages of other routers and on time.
 */
final class ProbeQueue {

    /** Time between two checks; short against the processing time of a prompt. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

    private final TimerService timers;
    private final Set<Runnable> waiting = new LinkedHashSet<>();
    private boolean checkScheduled;

    ProbeQueue(TimerService timers) {
        this.timers = timers;
    }

    /** Adds the check of a request, which runs until it is removed. */
    void add(Runnable check) {
        waiting.add(check);
        scheduleCheck();
    }

    /** Removes a check; has no effect if it was not added. */
    void remove(Runnable check) {
        waiting.remove(check);
    }

    int size() {
        return waiting.size();
    }

    private void scheduleCheck() {
        if (!checkScheduled && !waiting.isEmpty()) {
            checkScheduled = true;
            var unused = timers.scheduleOnce("probe check", CHECK_INTERVAL, this::checkAll);
        }
    }

    private void checkAll() {
        checkScheduled = false;
        new ArrayList<>(waiting).forEach(check -> {
            if (waiting.contains(check)) {
                check.run();
            }
        });
        scheduleCheck();
    }
}
