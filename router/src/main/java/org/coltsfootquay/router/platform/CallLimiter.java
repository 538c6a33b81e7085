package org.coltsfootquay.router.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Bound on the calls in flight and on the calls that wait; thread-safe. */
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

    /** What a new attempt must do. */
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

    /** Removes an attempt that ended; returns the attempt that must be sent in its place. */
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

    /** Refuses new attempts and returns those that have not ended. */
    synchronized List<PlatformCallAttempt> close() {
        closed = true;
        List<PlatformCallAttempt> open = new ArrayList<>(waiting);
        waiting.clear();
        open.addAll(inFlight);
        return open;
    }
}
