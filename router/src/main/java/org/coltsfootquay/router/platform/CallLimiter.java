package org.coltsfootquay.router.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Limits the number of calls in flight and of queued calls; thread-safe. */
final class CallLimiter {

    private final int maxInFlight;
    private final int maxWaiting;
    private final Set<PlatformCallAttempt> inFlight = new HashSet<>();
    private final Deque<PlatformCallAttempt> waiting = new ArrayDeque<>();
    private boolean closed;

    CallLimiter(int maxInFlight, int maxWaiting) {
        this.maxInFlight = maxInFlight;
        this.maxWaiting = maxWaiting;
    }

    /** Result of admitting an attempt. */
    enum Admission {
        SEND,
        WAIT,
        FULL,
        CLOSED
    }

    synchronized Admission admit(PlatformCallAttempt attempt) {
        if (closed) {
            return Admission.CLOSED;
        }
        if (inFlight.size() < maxInFlight) {
            inFlight.add(attempt);
            return Admission.SEND;
        }
        if (waiting.size() < maxWaiting) {
            waiting.add(attempt);
            return Admission.WAIT;
        }
        return Admission.FULL;
    }

    /** Removes an attempt that ended and returns the queued attempt that must be sent next, if any. */
    synchronized Optional<PlatformCallAttempt> release(PlatformCallAttempt attempt) {
        if (!inFlight.remove(attempt)) {
            waiting.remove(attempt);
            return Optional.empty();
        }
        PlatformCallAttempt next = waiting.poll();
        if (next != null) {
            inFlight.add(next);
        }
        return Optional.ofNullable(next);
    }

    /** Rejects new attempts from now on and returns those that have not ended. */
    synchronized List<PlatformCallAttempt> close() {
        closed = true;
        List<PlatformCallAttempt> active = new ArrayList<>(waiting);
        waiting.clear();
        active.addAll(inFlight);
        return active;
    }
}
