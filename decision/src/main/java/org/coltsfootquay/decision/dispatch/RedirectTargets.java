package org.coltsfootquay.decision.dispatch;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.fairness.ServiceTotals;

/** Other owners with free slots according to the last totals; each redirect uses one slot. */
final class RedirectTargets {

    private final ArrayDeque<Target> targets = new ArrayDeque<>();

    private record Target(RouterId router, int freeSlots) {}

    void replace(List<ServiceTotals.OwnerLoad> loads, RouterId self) {
        targets.clear();
        for (ServiceTotals.OwnerLoad load : loads) {
            if (load.freeSlots() > 0 && !load.router().equals(self)) {
                targets.add(new Target(load.router(), load.freeSlots()));
            }
        }
    }

    Optional<RouterId> take() {
        Target first = targets.poll();
        if (first == null) {
            return Optional.empty();
        }
        if (first.freeSlots() > 1) {
            targets.add(new Target(first.router(), first.freeSlots() - 1));
        }
        return Optional.of(first.router());
    }
}
