package org.coltsfootquay.decision.spread;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.peer.PeerRouter;

/**
 * Chooses the routers whose addresses a caller is given, by weighted rendezvous hashing of caller and router.
 *
 * <p>Load that it answers: all callers of a workspace prefer one address among those that they are given, so that a
 * list that all have in common leads all of them to one router. Here each caller has a subset of its own, which every
 * router computes alike. A router that joins, leaves or changes its weight replaces at most one member of each subset.
 */
public final class AddressSubset {

    /** Number of bits of a hash that a double represents exactly. */
    private static final int HASH_BITS = 53;

    private final int size;

    /**
     * Creates a chooser.
     *
     * @param size number of routers in a subset
     */
    public AddressSubset(int size) {
        this.size = (int) ArgumentUtils.requirePositive(size, "size");
    }

    /**
     * Returns the subset of a caller.
     *
     * @param caller address of the caller, without a port
     * @param candidates routers that accept callers
     * @param weight weight of a router, above 0; a router with half the weight is in about half as many subsets
     * @return members of the subset in the order of the candidates; all candidates if there are no more than its size
     */
    public List<PeerRouter> choose(String caller, List<PeerRouter> candidates, ToDoubleFunction<RouterId> weight) {
        if (candidates.size() <= size) {
            return candidates;
        }
        List<Scored> chosen = candidates.stream()
                .map(router -> new Scored(router, score(caller, router.id(), weight.applyAsDouble(router.id()))))
                .sorted(Comparator.comparingDouble(Scored::score)
                        .reversed()
                        .thenComparing(scored -> scored.router.id()))
                .limit(size)
                .toList();
        return candidates.stream()
                .filter(router -> chosen.stream().anyMatch(scored -> scored.router.equals(router)))
                .toList();
    }

    private static double score(String caller, RouterId router, double weight) {
        long bits = HashUtils.hash(caller, router.value()) >>> (Long.SIZE - HASH_BITS);
        double uniform = (bits + 0.5) / (1L << HASH_BITS);
        return -weight / Math.log(uniform);
    }

    private record Scored(PeerRouter router, double score) {}
}
