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
 * Selects the owner with the shortest expected wait among two random owners (power of two choices) and the owner of the
 * server that has probably cached the prompt's prefix.
 *
 * <p>The cost of a choice does not depend on the number of owners, unless most of them are excluded. Thread-safe,
 * because the requests of all event loops share it.
 */
public final class PowerOfTwoChoicesSelector implements OwnerSelector {

    /** Bonus of a full prefix match in waiting time: about the prefill of a prompt of 2,000 tokens. */
    static final double PREFIX_BONUS_MILLIS = 200;

    /** Bonus of the same zone in waiting time: two trips of 1.5 ms between zones. */
    static final double ZONE_BONUS_MILLIS = 3;

    /** Half-life of a recorded waiting time. */
    static final double HALF_LIFE_NANOS = Duration.ofSeconds(2).toNanos();

    /** Time for which an owner that could not be reached is avoided. */
    static final long AVOID_NANOS = Duration.ofSeconds(5).toNanos();

    /** Maximum number of recorded prefixes: 16,384 entries of about 80 bytes take 1.3 MB. */
    static final int PREFIX_CAPACITY = 16_384;

    /** Maximum number of recorded waiting times; covers 390 owners of each of 7 services, more than one router uses. */
    static final int WAIT_CAPACITY = 4_096;

    private static final int MAX_DRAWS = 8;
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
     * @param owners supplier of the latest owner map
     * @param members supplier of the latest membership view
     * @param seed seed of the random choices
     */
    public PowerOfTwoChoicesSelector(
            ZoneName zone, Supplier<OwnerMap> owners, Supplier<MembershipView> members, long seed) {
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
            RouterId prefixOwner = ownerOf(map, match.get().server());
            boolean usable = prefixOwner != null && isUsable(prefixOwner, excluded, nowNanos);
            if (usable) {
                double score = score(service, prefixOwner, nowNanos)
                        - PREFIX_BONUS_MILLIS * match.get().coveredFraction();
                if (best == null || score <= score(service, best, nowNanos)) {
                    best = prefixOwner;
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
     * Records that a server evicted prefixes from its cache.
     *
     * @param server server
     * @param prefixHashes hashes of the prefixes
     */
    public synchronized void recordPrefixEvicted(ServerName server, List<Long> prefixHashes) {
        prefixes.remove(server, prefixHashes);
    }

    /**
     * Returns the index of a random usable owner other than the first one, or -1. Only the selection of the first owner
     * falls back to a scan of all owners, when no random draw hits a usable one.
     */
    private int drawIndex(List<RouterId> candidates, Set<RouterId> excluded, int firstIndex, long nowNanos) {
        int size = candidates.size();
        if (firstIndex >= 0 && size == 1) {
            return -1;
        }
        for (int i = 0; i < MAX_DRAWS; i++) {
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
        double decayedMillis =
                wait == null ? 0 : wait.millis * Math.pow(0.5, (nowNanos - wait.atNanos) / HALF_LIFE_NANOS);
        Member member = members.get().members().get(owner);
        return member != null && member.zone().equals(zone) ? decayedMillis - ZONE_BONUS_MILLIS : decayedMillis;
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
