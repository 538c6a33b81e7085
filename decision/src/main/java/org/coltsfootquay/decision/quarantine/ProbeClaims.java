package org.coltsfootquay.decision.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Lets one request at a time be sent with parts that are suspected of crashing servers, in the whole fleet; not
 * thread-safe.
 *
 * <p>A router announces its request and sends it after the contention time, unless it hears of another one that
 * precedes: one that was sent, or of several that were announced at the same time the one with the lowest number.
 * The contention time covers two messages, so that of two routers that have not heard each other when they
 * announce, the one that yields learns of the other in time. A router that stops or is cut off no longer repeats
 * its announcement, which then lapses.
 */
final class ProbeClaims {

    /** Smallest contention time: twice the maximum delay of datagrams and event loops. */
    private static final Duration MIN_CONTENTION_TIME = Duration.ofMillis(200);

    /** Increase of the contention time by each router; the time between two updates grows with the fleet. */
    private static final Duration CONTENTION_TIME_PER_ROUTER = Duration.ofMillis(5);

    /** Time over which routers that want to announce a request at the same moment spread, for each router. */
    private static final Duration SPREAD_PER_ROUTER = Duration.ofMillis(5);

    /** Time without a repetition after which the request of another router no longer counts; several beacon periods. */
    static final Duration LAPSE_TIME = Duration.ofSeconds(3);

    /** Time after which a request that has neither been answered nor crashed a server holds up others no longer. */
    static final Duration MAX_PROBE_TIME = Duration.ofSeconds(10);

    /** Messages in which each claim is repeated, since datagrams get lost. */
    private static final int REPETITIONS = 4;

    private static final int MAX_CLAIMS = 256;
    private static final int MAX_PARTS_PER_CLAIM = 128;

    private final IntSupplier routers;
    private final RandomGenerator random;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();

    /** Claims that other routers have to be told of, by their numbers. */
    private final Map<Long, Outgoing> outgoing = new LinkedHashMap<>();

    /** Time from which a request whose parts are free may be announced, by its number. */
    private final Map<Long, Long> announceNanos = new HashMap<>();

    /**
     * Creates an instance without claims.
     *
     * @param routers number of routers in the fleet
     * @param random source of the delays of announcements
     */
    ProbeClaims(IntSupplier routers, RandomGenerator random) {
        this.routers = routers;
        this.random = random;
    }

    /**
     * Returns whether a request may be sent now. If no other one precedes it, it is announced, and may be sent by a
     * later call.
     *
     * @param id number of the request
     * @param parts suspected parts of its prompt, not empty
     * @param nowNanos current time
     */
    boolean tryAcquire(long id, Set<PartKey> parts, long nowNanos) {
        removeLapsed(nowNanos);
        Entry own = entries.get(id);
        if (own != null && !own.parts.containsAll(parts)) {
            end(id);
            own = null;
        }
        if (own == null) {
            own = announce(id, parts, nowNanos);
        }
        if (own == null) {
            return false;
        }
        own.heardNanos = nowNanos;
        if (isPreceded(own)) {
            entries.remove(id);
            outgoing.remove(id);
            return false;
        }
        return own.sent || nowNanos - own.sinceNanos >= contentionTime().toNanos();
    }

    /** Announces a request, or returns null while another one holds one of the parts or this router has to wait. */
    private Entry announce(long id, Set<PartKey> parts, long nowNanos) {
        if (entries.size() >= MAX_CLAIMS || entries.values().stream().anyMatch(entry -> entry.sharesPartWith(parts))) {
            announceNanos.remove(id);
            return null;
        }
        if (nowNanos - announceNanos.computeIfAbsent(id, key -> nowNanos + randomSpread()) < 0) {
            return null;
        }
        announceNanos.remove(id);
        Entry entry = new Entry(id, parts, true, nowNanos);
        entries.put(id, entry);
        tell(entry.claim());
        return entry;
    }

    private long randomSpread() {
        int others = Math.max(0, routers.getAsInt() - 1);
        return (long) (random.nextDouble() * others * SPREAD_PER_ROUTER.toNanos());
    }

    /** Returns whether the request of another router goes before one of this router. */
    private boolean isPreceded(Entry own) {
        return entries.values().stream()
                .anyMatch(other -> !other.own && other.sharesPartWith(own.parts) && other.precedes(own));
    }

    /** Records that an announced request is sent. */
    void sent(long id, long nowNanos) {
        Entry own = entries.get(id);
        if (own != null) {
            own.sent = true;
            own.sinceNanos = nowNanos;
            tell(own.claim());
        }
    }

    /** Records that a request of this router is not, or no longer, at a server. */
    void end(long id) {
        announceNanos.remove(id);
        Entry own = entries.remove(id);
        if (own != null) {
            tell(new ProbeClaim(id, own.parts, ProbeClaim.State.ENDED));
        }
    }

    /**
     * Records the claim of another router.
     *
     * @param claim claim
     * @param nowNanos current time
     */
    void receive(ProbeClaim claim, long nowNanos) {
        Entry known = entries.get(claim.id());
        if (known != null && known.own) {
            return;
        }
        if (claim.state() == ProbeClaim.State.ENDED) {
            entries.remove(claim.id());
            return;
        }
        if (known == null) {
            removeLapsed(nowNanos);
            if (entries.size() >= MAX_CLAIMS) {
                return;
            }
            known = new Entry(claim.id(), Set.of(), false, nowNanos);
            entries.put(claim.id(), known);
        }
        claim.parts().stream().limit(MAX_PARTS_PER_CLAIM - known.parts.size()).forEach(known.parts::add);
        known.heardNanos = nowNanos;
        if (!known.sent && claim.state() == ProbeClaim.State.SENT) {
            known.sent = true;
            known.sinceNanos = nowNanos;
        }
        repeatToContender(known);
    }

    /** Tells a router again of a request that precedes its own, which it seems not to know. */
    private void repeatToContender(Entry other) {
        for (Entry own : entries.values()) {
            if (own.own && own.sharesPartWith(other.parts) && own.precedes(other)) {
                tell(own.claim());
            }
        }
    }

    private void tell(ProbeClaim claim) {
        outgoing.put(claim.id(), new Outgoing(claim));
    }

    /** Returns whether there are claims that were not sent often enough. */
    boolean hasNews() {
        return !outgoing.isEmpty();
    }

    /** Returns whether there are claims that were not sent at all. */
    boolean hasUnsentNews() {
        return outgoing.values().stream().anyMatch(entry -> entry.sent == 0);
    }

    /**
     * Returns what other routers have to be told.
     *
     * @param all true to repeat the requests of this router that were not announced anew
     * @param nowNanos current time
     */
    List<ProbeClaim> takeNews(boolean all, long nowNanos) {
        // Other routers would take the repetition of a request past its time for a new one.
        removeLapsed(nowNanos);
        if (all) {
            entries.values().stream()
                    .filter(entry -> entry.own)
                    .forEach(entry -> outgoing.putIfAbsent(entry.id, new Outgoing(entry.claim())));
        }
        List<ProbeClaim> news =
                outgoing.values().stream().map(entry -> entry.claim).toList();
        outgoing.values().removeIf(entry -> ++entry.sent >= REPETITIONS);
        return news;
    }

    private Duration contentionTime() {
        int count = routers.getAsInt();
        return count <= 1 ? Duration.ZERO : MIN_CONTENTION_TIME.plus(CONTENTION_TIME_PER_ROUTER.multipliedBy(count));
    }

    private void removeLapsed(long nowNanos) {
        // Routers that yield do not say so, nor do requests that end while they wait.
        long announcedLapse =
                contentionTime().multipliedBy(2).plus(MIN_CONTENTION_TIME).toNanos();
        entries.values().removeIf(entry -> {
            long age = nowNanos - entry.sinceNanos;
            long silence = nowNanos - entry.heardNanos;
            return entry.sent
                    ? age > MAX_PROBE_TIME.toNanos() || (!entry.own && silence > LAPSE_TIME.toNanos())
                    : silence > announcedLapse;
        });
        outgoing.values()
                .removeIf(entry ->
                        entry.claim.state() != ProbeClaim.State.ENDED && !entries.containsKey(entry.claim.id()));
    }

    /** Claim that is sent several times. */
    private static final class Outgoing {

        private final ProbeClaim claim;
        private int sent;

        private Outgoing(ProbeClaim claim) {
            this.claim = claim;
        }
    }

    /** Request that is announced or at a server. */
    private static final class Entry {

        private final long id;
        private final Set<PartKey> parts;
        private final boolean own;

        /** Time since which the request is in its present state. */
        private long sinceNanos;

        /** Last time at which the request still waited, or its router has told of it. */
        private long heardNanos;

        private boolean sent;

        private Entry(long id, Set<PartKey> parts, boolean own, long nowNanos) {
            this.id = id;
            this.parts = new HashSet<>(parts);
            this.own = own;
            this.sinceNanos = nowNanos;
            this.heardNanos = nowNanos;
        }

        private ProbeClaim claim() {
            return new ProbeClaim(id, parts, sent ? ProbeClaim.State.SENT : ProbeClaim.State.ANNOUNCED);
        }

        private boolean sharesPartWith(Set<PartKey> others) {
            return parts.stream().anyMatch(others::contains);
        }

        private boolean precedes(Entry other) {
            return sent == other.sent ? id < other.id : sent;
        }
    }
}
