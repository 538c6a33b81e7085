package org.coltsfootquay.decision.exchange;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Collects the updates that a relay passes on, each once; not thread-safe.
 *
 * <p>The first relay of a zone passes on after a short time, so that updates share datagrams. Every other router that
 * is asked to pass on waits longer and drops what it has heard from another relay meanwhile. A relay that is killed or
 * cut off thus delays updates, and members that select different relays only cause additional datagrams.
 *
 * @param <U> type of the updates
 */
public final class RelayQueue<U> {

    /** Minimum time for which the first relay collects updates. */
    public static final Duration MIN_COLLECTION_TIME = Duration.ofMillis(15);

    /** Rounds of datagrams to all members of a zone are limited to this number of datagrams per second. */
    private static final int MAX_DATAGRAMS_PER_SECOND = 1500;

    /** Collection times after which another relay passes on; two hops of the first one, and a delay of the network. */
    private static final int STANDBY_COLLECTION_TIMES = 4;

    /** Time after which a sender without updates is forgotten. */
    private static final Duration SENDER_TIMEOUT = Duration.ofSeconds(30);

    /** Maximum number of waiting updates; a receiver of forged senders must not run out of memory. */
    private static final int MAX_WAITING = 20_000;

    private final Map<Key, Waiting<U>> waiting = new LinkedHashMap<>();
    private final Map<Long, Sender> senders = new HashMap<>();

    /** Creates an empty queue. */
    public RelayQueue() {
        // Updates are added when they are received.
    }

    /**
     * Returns the time for which updates are collected.
     *
     * @param first true at the first relay of the zone
     * @param members number of routers in the zone
     * @return time; grows with the number of members, to whom each round is sent
     */
    public static Duration collectionTime(boolean first, int members) {
        long millis = Math.max(
                MIN_COLLECTION_TIME.toMillis(), Duration.ofSeconds(members).toMillis() / MAX_DATAGRAMS_PER_SECOND);
        return Duration.ofMillis(first ? millis : millis * STANDBY_COLLECTION_TIMES);
    }

    /**
     * Adds an update that this router was asked to pass on.
     *
     * @param incarnation incarnation of its sender
     * @param sequence sequence number of the update
     * @param ownZone true if the sender is in the zone of this router, so that the update goes to other zones too
     * @param update update
     * @param dueNanos time at which it is passed on
     * @return false if the update was added or passed on before
     */
    public boolean add(long incarnation, long sequence, boolean ownZone, U update, long dueNanos) {
        if (waiting.size() >= MAX_WAITING || !record(incarnation, sequence, dueNanos)) {
            return false;
        }
        waiting.put(new Key(incarnation, sequence), new Waiting<>(update, ownZone, dueNanos));
        return true;
    }

    /**
     * Records that another relay has passed on an update.
     *
     * @param incarnation incarnation of its sender
     * @param sequence sequence number of the update
     * @param nowNanos current time
     */
    public void passedOn(long incarnation, long sequence, long nowNanos) {
        if (!record(incarnation, sequence, nowNanos)) {
            waiting.remove(new Key(incarnation, sequence));
        }
    }

    /**
     * Removes and returns the updates that are due.
     *
     * @param nowNanos current time
     * @return updates in the order in which they were added
     */
    public List<Waiting<U>> takeDue(long nowNanos) {
        List<Waiting<U>> due = new ArrayList<>();
        Iterator<Waiting<U>> all = waiting.values().iterator();
        while (all.hasNext()) {
            Waiting<U> next = all.next();
            if (next.dueNanos() <= nowNanos) {
                due.add(next);
                all.remove();
            }
        }
        return due;
    }

    /**
     * Returns when the update that waits longest is due.
     *
     * @return time; empty if no update waits
     */
    public OptionalLong nextDueNanos() {
        return waiting.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(waiting.values().iterator().next().dueNanos());
    }

    /**
     * Returns whether no update waits.
     *
     * @return true if none waits
     */
    public boolean isEmpty() {
        return waiting.isEmpty();
    }

    /**
     * Forgets senders without recent updates.
     *
     * @param nowNanos current time
     */
    public void removeSilent(long nowNanos) {
        senders.values().removeIf(sender -> nowNanos - sender.lastNanos > SENDER_TIMEOUT.toNanos());
    }

    private boolean record(long incarnation, long sequence, long nowNanos) {
        Sender sender = senders.computeIfAbsent(incarnation, id -> new Sender());
        sender.lastNanos = nowNanos;
        return sender.window.add(sequence);
    }

    /**
     * Update that waits to be passed on.
     *
     * @param update update
     * @param ownZone true if its sender is in the zone of this router
     * @param dueNanos time at which it is passed on
     * @param <U> type of the update
     */
    public record Waiting<U>(U update, boolean ownZone, long dueNanos) {}

    private record Key(long incarnation, long sequence) {}

    private static final class Sender {

        private final SequenceWindow window = new SequenceWindow();
        private long lastNanos;
    }
}
