package org.coltsfootquay.decision.fairness;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.ServiceName;

/** Selection of the owners that matter most for pulls and pushes. */
final class OwnerLoadSelector {

    /** Owners listed by service for each of the two reasons; more would cost control traffic and be out of date. */
    private static final int MAX_OWNERS_PER_LIST = 4;

    private final Map<ServiceName, List<ServiceTotals.OwnerLoad>> loads = new HashMap<>();

    void add(Map<ServiceName, List<ServiceTotals.OwnerLoad>> more) {
        more.forEach((service, list) ->
                loads.computeIfAbsent(service, any -> new ArrayList<>()).addAll(list));
    }

    /** Returns the owners with the longest queues and those with most free slots. */
    Map<ServiceName, List<ServiceTotals.OwnerLoad>> select() {
        Map<ServiceName, List<ServiceTotals.OwnerLoad>> selected = new HashMap<>();
        loads.forEach((service, list) -> {
            List<ServiceTotals.OwnerLoad> chosen = new ArrayList<>();
            list.stream()
                    .filter(load -> load.queueLength() > 0)
                    .sorted(Comparator.comparingInt(load -> -load.queueLength()))
                    .limit(MAX_OWNERS_PER_LIST)
                    .forEach(chosen::add);
            list.stream()
                    .filter(load -> load.queueLength() == 0 && load.freeSlots() > 0)
                    .sorted(Comparator.comparingInt(load -> -load.freeSlots()))
                    .limit(MAX_OWNERS_PER_LIST)
                    .forEach(chosen::add);
            if (!chosen.isEmpty()) {
                selected.put(service, chosen);
            }
        });
        return selected;
    }
}
