package org.coltsfootquay.decision.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.fairness.ServiceTotals;

/** Choice of the owner that an owner probes, so that free slots and waiting work meet. */
public final class ProbeTargetSelector {

    /** Time between two probes of an owner with free slots, or with a queue and no free slot. */
    public static final Duration PERIOD = Duration.ofMillis(250);

    private final ServiceName service;
    private final RouterId self;
    private final SplittableRandom random;

    /**
     * Creates a choice.
     *
     * @param service service
     * @param self this router
     * @param seed seed of random choices
     */
    public ProbeTargetSelector(ServiceName service, RouterId self, long seed) {
        this.service = service;
        this.self = self;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Returns the owner to probe now.
     *
     * <p>An owner with free slots and no queue looks for a queue, first in the list of the totals, else anywhere. An
     * owner with a queue and no free slot looks for free slots in the list. Any other owner probes nobody.
     *
     * @param own present load of this owner
     * @param totals newest totals
     * @param owners owners of the service that admit work
     * @return owner, or empty when no probe is due
     */
    public Optional<RouterId> select(ServiceTotals.OwnerLoad own, ServiceTotals totals, List<RouterId> owners) {
        boolean idle = own.freeSlots() > 0 && own.queueLength() == 0;
        boolean full = own.freeSlots() == 0 && own.queueLength() > 0;
        if (!idle && !full) {
            return Optional.empty();
        }
        List<RouterId> listed = totals.loads().getOrDefault(service, List.of()).stream()
                .filter(load -> idle ? load.queueLength() > 0 : load.queueLength() == 0 && load.freeSlots() > 0)
                .map(ServiceTotals.OwnerLoad::router)
                .filter(router -> !router.equals(self))
                .toList();
        if (!listed.isEmpty()) {
            return Optional.of(listed.get(random.nextInt(listed.size())));
        }
        List<RouterId> others =
                owners.stream().filter(router -> !router.equals(self)).toList();
        return idle && !others.isEmpty() ? Optional.of(others.get(random.nextInt(others.size()))) : Optional.empty();
    }
}
