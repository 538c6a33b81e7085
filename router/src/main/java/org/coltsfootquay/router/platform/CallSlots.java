package org.coltsfootquay.router.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Bound on the calls in flight and on the calls that wait; thread-safe. */
final class CallSlots {

    private final int maxInFlight;
    private final int maxWaiting;
    private final Set<PlatformAttempt> inFlight = new HashSet<>();
    private final Deque<PlatformAttempt> waiting = new ArrayDeque<>();
    private boolean closed;

    CallSlots(int maxInFlight, int maxWaiting) {
        this.maxInFlight = maxInFlight;
        this.maxWaiting = maxWaiting;
    }

    /** What a new attempt must do. */
    enum Entry {
        SEND,
        WAIT,
        FULL,
        CLOSED
    }

    synchronized Entry enter(PlatformAttempt attempt) {
        if (closed) {
            return Entry.CLOSED;
        }
        if (inFlight.size() < maxInFlight) {
            inFlight.add(attempt);
            return Entry.SEND;
        }
        if (waiting.size() < maxWaiting) {
            waiting.add(attempt);
            return Entry.WAIT;
        }
        return Entry.FULL;
    }

    /** Removes an attempt that ended; returns the attempt that must be sent in its place. */
    synchronized Optional<PlatformAttempt> leave(PlatformAttempt attempt) {
        if (!inFlight.remove(attempt)) {
            waiting.remove(attempt);
            return Optional.empty();
        }
        PlatformAttempt next = waiting.poll();
        if (next != null) {
            inFlight.add(next);
        }
        return Optional.ofNullable(next);
    }

    /** Refuses new attempts and returns those that have not ended. */
    synchronized List<PlatformAttempt> close() {
        closed = true;
        List<PlatformAttempt> open = new ArrayList<>(waiting);
        waiting.clear();
        open.addAll(inFlight);
        return open;
    }
}
