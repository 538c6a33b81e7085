package org.coltsfootquay.router.daemon;

import java.util.List;
import java.util.function.Predicate;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.ownership.OwnerMap;
import org.coltsfootquay.router.owner.ProbeTargets;

/** Owners to probe, from the totals and the owner map on the blackboard. */
record TotalsProbeTargetSelector(RouterId self, Blackboard blackboard) implements ProbeTargets {

    @Override
    public List<RouterId> ownersWithQueue(ServiceName service) {
        return ownersMatching(service, load -> load.queueLength() > 0);
    }

    @Override
    public List<RouterId> ownersWithFreeSlots(ServiceName service) {
        return ownersMatching(service, load -> load.freeSlots() > 0 && load.queueLength() == 0);
    }

    @Override
    public List<RouterId> allOwners(ServiceName service) {
        return blackboard.read(OwnerMap.TOPIC).ownersByService().getOrDefault(service, List.of()).stream()
                .filter(router -> !router.equals(self))
                .toList();
    }

    private List<RouterId> ownersMatching(ServiceName service, Predicate<ServiceTotals.OwnerLoad> wanted) {
        return blackboard.read(ServiceTotals.TOPIC).loads().getOrDefault(service, List.of()).stream()
                .filter(wanted)
                .map(ServiceTotals.OwnerLoad::router)
                .filter(router -> !router.equals(self))
                .toList();
    }
}
