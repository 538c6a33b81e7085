package org.coltsfootquay.decision.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.membership.Member;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.ownership.OwnerMap;

/**
 * Chooses the better of two random owners and of the owner of the server that probably holds the prompt's prefix.
 *
 * <p>The cost of a choice does not depend on the number of owners, unless most of them are excluded. Thread-safe: the
 * flows of all event loops share it.
 */
public final class PowerOfTwoChoicesSelector implements OwnerSelector {

    /** Waiting time that a full prefix match is worth: about the prefill of a prompt of 2,000 tokens. */
    static final double PREFIX_BONUS_MILLIS = 200;

    /** Waiting time that the same zone is worth: two trips of 1.5 ms between zones. */
    static final double ZONE_BONUS_MILLIS = 3;

    /** Time in which a known waiting time loses half of its weight. */
    static final double HALF_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

    /** Time for which an owner that could not be reached is avoided. */
    static final long AVOID_NANOS = Duration.ofSeconds(5).toNanos();

    /** Known prefixes: 16,384 entries of about 80 bytes are 1.3 MB. */
    static final int PREFIX_CAPACITY = 16_384;

    /** Known waiting times: more than 390 owners of each of 7 services never fit the use of one router. */
    static final int WAIT_CAPACITY = 4_096;

    private static final int DRAWS = 8;
    private static final double NANOS_PER_MILLI = 1e6;

    private final ZoneName zone;
    private final Supplier<OwnerMap> owners;
    private final Supplier<MembershipView> members;
    private final SplittableRandom random;
    private final PrefixTable prefixes = new PrefixTable(PREFIX_CAPACITY);
    private final Map<WaitKey, Wait> waits = bounded(WAIT_CAPACITY);
    private final Map<RouterId, Long> avoidedUntil = bounded(WAIT_CAPACITY);

    /**
     * Creates a selector.
     *
     * @param zone zone of this router
     * @param owners owners as last read
     * @param members members as last read
     * @param seed seed of the choices
     */
    public PowerOfTwoChoicesSelector(ZoneName zone, Supplier<OwnerMap> owners, Supplier<MembershipView> members, long seed) {
        this.zone = zone;
        this.owners = owners;
        this.members = members;
        this.random = new SplittableRandom(seed);
    }

    @Override
    public synchronized Optional<RouterId> select(
            ServiceName service, List<Long> prefixHashes, Set<RouterId> excluded, long nowNanos) {
        OwnerMap map = owners.get();
        List<RouterId> candidates = map.ownersByService().getOrDefault(service, List.of());
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        int firstIndex = drawIndex(candidates, excluded, -1, nowNanos);
        int secondIndex = firstIndex < 0 ? -1 : drawIndex(candidates, excluded, firstIndex, nowNanos);
        RouterId best = better(service, at(candidates, firstIndex), at(candidates, secondIndex), nowNanos);
        Optional<PrefixTable.Match> match = prefixes.findLongestMatch(prefixHashes);
        if (match.isPresent()) {
            RouterId holder = ownerOf(map, match.get().server());
            boolean usable = holder != null && isUsable(holder, excluded, nowNanos);
            if (usable) {
                double score = score(service, holder, nowNanos)
                        - PREFIX_BONUS_MILLIS * match.get().coveredFraction();
                if (best == null || score <= score(service, best, nowNanos)) {
                    best = holder;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    @Override
    public synchronized void recordWaitTime(ServiceName service, RouterId owner, Duration wait, long nowNanos) {
        waits.put(new WaitKey(service, owner), new Wait(wait.toNanos() / NANOS_PER_MILLI, nowNanos));
        avoidedUntil.remove(owner);
    }

    @Override
    public synchronized void recordUnreachable(RouterId owner, long nowNanos) {
        avoidedUntil.put(owner, nowNanos + AVOID_NANOS);
    }

    @Override
    public synchronized void recordPrefixServed(ServerName server, List<Long> prefixHashes) {
        prefixes.put(server, prefixHashes);
    }

    /**
     * Notes that a server dropped prefixes from its cache.
     *
     * @param server server
     * @param prefixHashes hashes of the prefixes
     */
    public synchronized void recordPrefixEvicted(ServerName server, List<Long> prefixHashes) {
        prefixes.remove(server, prefixHashes);
    }

    /**
     * Draws the index of a random owner other than the first one; looks at all only when the draws of the first one hit
     * owners that cannot be used.
     */
    private int drawIndex(List<RouterId> candidates, Set<RouterId> excluded, int firstIndex, long nowNanos) {
        int size = candidates.size();
        if (firstIndex >= 0 && size == 1) {
            return -1;
        }
        for (int i = 0; i < DRAWS; i++) {
            int drawn = firstIndex < 0 ? random.nextInt(size) : (firstIndex + 1 + random.nextInt(size - 1)) % size;
            if (isUsable(candidates.get(drawn), excluded, nowNanos)) {
                return drawn;
            }
        }
        if (firstIndex >= 0) {
            return -1;
        }
        int start = random.nextInt(size);
        for (int i = 0; i < size; i++) {
            int index = (start + i) % size;
            if (isUsable(candidates.get(index), excluded, nowNanos)) {
                return index;
            }
        }
        return -1;
    }

    private boolean isUsable(RouterId owner, Set<RouterId> excluded, long nowNanos) {
        return !excluded.contains(owner) && !isAvoided(owner, nowNanos);
    }

    private static RouterId at(List<RouterId> candidates, int index) {
        return index < 0 ? null : candidates.get(index);
    }

    private RouterId better(ServiceName service, RouterId first, RouterId second, long nowNanos) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return score(service, second, nowNanos) < score(service, first, nowNanos) ? second : first;
    }

    private double score(ServiceName service, RouterId owner, long nowNanos) {
        Wait wait = waits.get(new WaitKey(service, owner));
        double known = wait == null ? 0 : wait.millis * Math.pow(0.5, (nowNanos - wait.atNanos) / HALF_LIFE_NANOS);
        Member member = members.get().members().get(owner);
        return member != null && member.zone().equals(zone) ? known - ZONE_BONUS_MILLIS : known;
    }

    private boolean isAvoided(RouterId owner, long nowNanos) {
        Long until = avoidedUntil.get(owner);
        return until != null && nowNanos < until;
    }

    private static RouterId ownerOf(OwnerMap map, ServerName server) {
        OwnerMap.Owner owner = map.owners().get(server);
        return owner == null ? null : owner.router();
    }

    private static <K, V> Map<K, V> bounded(int capacity) {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > capacity;
            }
        };
    }

    private record WaitKey(ServiceName service, RouterId owner) {}

    private record Wait(double millis, long atNanos) {}
}
