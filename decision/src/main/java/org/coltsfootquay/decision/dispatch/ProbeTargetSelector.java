package org.coltsfootquay.decision.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.fairness.ServiceTotals;

/** Selects the owner to probe, in order to match free slots at one owner with waiting requests at another. */
public final class ProbeTargetSelector {

    /** Interval between the probes of an owner that has free slots and no queue, or a queue and no free slots. */
    public static final Duration PERIOD = Duration.ofMillis(250);

    private final ServiceName service;
    private final RouterId self;
    private final SplittableRandom random;

    /**
     * Creates a selector.
     *
     * @param service service
     * @param self this router
     * @param seed seed of the random number generator
     */
    public ProbeTargetSelector(ServiceName service, RouterId self, long seed) {
        this.service = service;
        this.self = self;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Selects the owner to probe now.
     *
     * <p>An owner with free slots and no queue probes an owner that the totals list with a queue, or any other owner if
     * none is listed. An owner with a queue and no free slots probes an owner that the totals list with free slots. No
     * other owner sends probes.
     *
     * @param own current load of this owner
     * @param totals newest totals
     * @param owners owners of the service that accept requests
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
