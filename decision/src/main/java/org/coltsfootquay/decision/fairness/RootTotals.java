package org.coltsfootquay.decision.fairness;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.common.ServiceName;

/** Fleet-wide usage totals of all workspaces, kept by the root of the aggregation tree. */
public final class RootTotals {

    /**
     * Time for which a workspace counts as backlogged after its last waiting request. Without it, the total of a
     * workspace whose queue happens to be empty at the time of a report would be raised to the smallest total again and
     * again, so that the workspace would lose the service it is owed.
     */
    public static final Duration BACKLOG_HOLD = Duration.ofSeconds(3);

    private static final double RATE_TIME_CONSTANT_SECONDS = 10;

    private final Map<UsageKey, Counter> counters = new HashMap<>();
    private final Map<ServiceName, DecayingRate> fleetRates = new HashMap<>();

    private static final class Counter {
        private final DecayingRate rate = new DecayingRate(RATE_TIME_CONSTANT_SECONDS);
        private long total;
        private long lastBackloggedNanos;
        private boolean backlogged;
    }

    /**
     * Initializes the counters from the totals of the previous root.
     *
     * @param previousTotals last totals that this router received
     * @param nowNanos current time
     */
    public void restore(FleetTotals previousTotals, long nowNanos) {
        for (FleetTotals.Offset offset : previousTotals.offsets()) {
            Counter counter = counter(new UsageKey(offset.workspace(), offset.service()));
            counter.total = offset.units();
            counter.backlogged = true;
            counter.lastBackloggedNanos = nowNanos;
            counter.rate.add(offset.unitsPerSecond() * RATE_TIME_CONSTANT_SECONDS, nowNanos);
        }
        previousTotals
                .rates()
                .forEach((service, rate) ->
                        fleetRate(service).add(rate.unitsPerSecond() * RATE_TIME_CONSTANT_SECONDS, nowNanos));
    }

    /**
     * Adds service units to a counter.
     *
     * @param key key of the counter
     * @param units service units; negative for a correction
     * @param nowNanos current time
     */
    public void add(UsageKey key, long units, long nowNanos) {
        Counter counter = counter(key);
        counter.total += units;
        counter.rate.add((double) units, nowNanos);
        fleetRate(key.service()).add((double) units, nowNanos);
    }

    /**
     * Updates the set of backlogged workspaces and returns their offsets. The total of a workspace that becomes
     * backlogged is raised to the smallest total of the backlogged ones, so that idle time earns no credit.
     *
     * @param backlogged keys of the workspaces that have requests waiting at any owner
     * @param nowNanos current time
     * @return offsets of all backlogged workspaces from their mean
     */
    public List<FleetTotals.Offset> offsets(Set<UsageKey> backlogged, long nowNanos) {
        backlogged.forEach(key -> counter(key).lastBackloggedNanos = nowNanos);
        Map<ServiceName, Long> smallest = new HashMap<>();
        counters.forEach((key, counter) -> {
            counter.backlogged = counter.backlogged && nowNanos - counter.lastBackloggedNanos <= BACKLOG_HOLD.toNanos();
            if (counter.backlogged) {
                smallest.merge(key.service(), counter.total, Math::min);
            }
        });
        for (UsageKey key : backlogged) {
            Counter counter = counter(key);
            if (!counter.backlogged) {
                counter.total = Math.max(counter.total, smallest.getOrDefault(key.service(), counter.total));
                counter.backlogged = true;
            }
        }
        Map<ServiceName, double[]> means = new HashMap<>();
        counters.forEach((key, counter) -> {
            if (counter.backlogged) {
                double[] sum = means.computeIfAbsent(key.service(), service -> new double[2]);
                sum[0] += counter.total;
                sum[1]++;
            }
        });
        List<FleetTotals.Offset> offsets = new ArrayList<>();
        counters.forEach((key, counter) -> {
            if (counter.backlogged) {
                double[] sum = means.get(key.service());
                long offset = Math.round(counter.total - sum[0] / sum[1]);
                long rate = Math.max(0, Math.round(counter.rate.perSecond(nowNanos)));
                offsets.add(new FleetTotals.Offset(key.workspace(), key.service(), offset, rate));
            }
        });
        return offsets;
    }

    /**
     * Returns the service rate of the fleet and the number of backlogged workspaces for each service.
     *
     * @param nowNanos current time
     * @return rate by service
     */
    public Map<ServiceName, FleetTotals.Rate> rates(long nowNanos) {
        Map<ServiceName, Integer> backlogged = new HashMap<>();
        counters.forEach((key, counter) -> {
            if (counter.backlogged) {
                backlogged.merge(key.service(), 1, Integer::sum);
            }
        });
        Map<ServiceName, FleetTotals.Rate> rates = new HashMap<>();
        fleetRates.forEach((service, rate) -> rates.put(
                service,
                new FleetTotals.Rate(
                        Math.max(0, Math.round(rate.perSecond(nowNanos))), backlogged.getOrDefault(service, 0))));
        return rates;
    }

    private Counter counter(UsageKey key) {
        return counters.computeIfAbsent(key, any -> new Counter());
    }

    private DecayingRate fleetRate(ServiceName service) {
        return fleetRates.computeIfAbsent(service, any -> new DecayingRate(RATE_TIME_CONSTANT_SECONDS));
    }
}
