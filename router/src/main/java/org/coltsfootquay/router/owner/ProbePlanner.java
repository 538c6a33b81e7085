package org.coltsfootquay.router.owner;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.fairness.ServiceTotals;

/**
 * Decides when an owner probes which other owner.
 *
 * <p>An owner with free slots and no queue probes owners with a queue, an owner with a queue and no free slot probes
 * owners with free slots. The first probe follows the change at once and the next ones every 250 ms, or sooner after an
 * answer that moved work. Without a listed owner a random one is probed, by an idle owner only once a second.
 */
final class ProbePlanner {

    private static final long PERIOD_NANOS = Duration.ofMillis(250).toNanos();
    private static final long RANDOM_IDLE_PERIOD_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long SHORTEST_PERIOD_NANOS = Duration.ofMillis(50).toNanos();

    private enum Need {
        NONE,
        WORK,
        SLOTS
    }

    private static final class State {
        private Need need = Need.NONE;
        private long sentNanos;
        private long dueNanos;
    }

    private final ProbeTargets targets;
    private final RandomGenerator random;
    private final Map<ServiceName, State> states = new HashMap<>();

    ProbePlanner(ProbeTargets targets, RandomGenerator random) {
        this.targets = targets;
        this.random = random;
    }

    /** Returns the owner to probe now, if any. */
    Optional<RouterId> nextTarget(ServiceName service, ServiceTotals.OwnerLoad load, long nowNanos) {
        State state = states.computeIfAbsent(service, name -> new State());
        Need need = need(load);
        if (need != state.need) {
            state.need = need;
            state.dueNanos = Math.max(nowNanos, state.sentNanos + SHORTEST_PERIOD_NANOS);
        }
        if (need == Need.NONE || nowNanos < state.dueNanos) {
            return Optional.empty();
        }
        List<RouterId> listed = need == Need.WORK ? targets.ownersWithQueue(service) : targets.ownersWithFreeSlots(service);
        boolean blind = listed.isEmpty();
        List<RouterId> candidates = blind ? targets.allOwners(service) : listed;
        state.dueNanos = nowNanos + (blind && need == Need.WORK ? RANDOM_IDLE_PERIOD_NANOS : PERIOD_NANOS);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        state.sentNanos = nowNanos;
        return Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /** Notes an answer; one that moves work is followed by the next probe soon. */
    void recordReply(ServiceName service, int freeSlots, int queueLength) {
        State state = states.get(service);
        boolean useful = state != null
                && ((state.need == Need.WORK && queueLength > 0)
                        || (state.need == Need.SLOTS && freeSlots > 0 && queueLength == 0));
        if (useful) {
            state.dueNanos = Math.min(state.dueNanos, state.sentNanos + SHORTEST_PERIOD_NANOS);
        }
    }

    private static Need need(ServiceTotals.OwnerLoad load) {
        if (load.freeSlots() > 0 && load.queueLength() == 0) {
            return Need.WORK;
        }
        return load.freeSlots() == 0 && load.queueLength() > 0 ? Need.SLOTS : Need.NONE;
    }
}
