package org.coltsfootquay.decision.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.selection.VersionPolicy;
import org.coltsfootquay.decision.timer.TimerService;

/** Roll-outs of all services at one router; not thread-safe. */
public final class RolloutController implements VersionPolicy {

    /** Interval of the evaluation of the evidence; a fraction of the time for a roll-back. */
    private static final Duration EVALUATION_INTERVAL = Duration.ofMillis(200);

    /** Time for which a new version gets nothing, since its order may arrive after the entries of its servers. */
    private static final Duration NEW_VERSION_HOLD = Duration.ofSeconds(3);

    /** Time without a server of another version after which a target that is not rejected gets all requests. */
    private static final Duration OTHERS_GONE_TIME = Duration.ofSeconds(3);

    /** Minimum number of servers that get the share of the target, so that one faulty server is told from a version. */
    private static final int MIN_CANARY_SERVERS = 2;

    private final RolloutSettings settings;
    private final RolloutStore store;
    private final FleetView fleet;
    private final RolloutListener listener;
    private final RandomGenerator random;
    private final TimerService timers;
    private final Map<ServiceName, ServiceRollout> rollouts = new HashMap<>();
    private final Map<ServiceName, Map<String, Long>> heldUntilNanos = new HashMap<>();
    /** Time at which a service last had an eligible server of a version other than the target. */
    private final Map<ServiceName, Long> othersSeenNanos = new HashMap<>();

    /**
     * Creates a controller.
     *
     * @param settings bounds
     * @param store rows with the states
     * @param fleet view of the fleet
     * @param listener receives events
     * @param random source of randomness
     * @param timers timer service
     */
    public RolloutController(
            RolloutSettings settings,
            RolloutStore store,
            FleetView fleet,
            RolloutListener listener,
            RandomGenerator random,
            TimerService timers) {
        this.settings = ArgumentUtils.requireValue(settings, "settings");
        this.store = ArgumentUtils.requireValue(store, "store");
        this.fleet = ArgumentUtils.requireValue(fleet, "fleet");
        this.listener = ArgumentUtils.requireValue(listener, "listener");
        this.random = ArgumentUtils.requireValue(random, "random");
        this.timers = ArgumentUtils.requireValue(timers, "timers");
        timers.schedulePeriodic("roll-outs", EVALUATION_INTERVAL, this::evaluate);
    }

    /**
     * Replaces the orders with those of the store.
     *
     * @param orders all orders, at most one for each service
     */
    public void replaceOrders(Collection<RolloutOrder> orders) {
        Set<ServiceName> ordered = new HashSet<>();
        for (RolloutOrder order : orders) {
            ordered.add(order.service());
            ServiceRollout rollout = rollouts.get(order.service());
            if (rollout == null || rollout.withdrawn() || !isSame(rollout.order(), order)) {
                if (rollout != null && !rollout.withdrawn() && rollout.continues(order)) {
                    rollout.rewritten(order);
                } else {
                    rollouts.put(
                            order.service(),
                            new ServiceRollout(order, settings, store, fleet, listener, random, timers.nowNanos()));
                }
            }
        }
        rollouts.values()
                .removeIf(rollout ->
                        !ordered.contains(rollout.order().service()) && rollout.phase() == RolloutPhase.COMPLETED);
        rollouts.forEach((service, rollout) -> {
            if (!ordered.contains(service)) {
                rollout.withdraw();
            }
        });
    }

    private static boolean isSame(RolloutOrder known, RolloutOrder order) {
        return known.revision() == order.revision() && known.era() == order.era();
    }

    @Override
    public List<List<BackendEntry>> groups(ServiceName service, List<BackendEntry> eligible, long nowNanos) {
        holdNewVersions(service, eligible, nowNanos);
        ServiceRollout rollout = rollouts.get(service);
        List<BackendEntry> targets = new ArrayList<>();
        List<BackendEntry> others = new ArrayList<>();
        List<BackendEntry> held = new ArrayList<>();
        for (BackendEntry entry : eligible) {
            if (rollout != null && rollout.isTarget(entry.version())) {
                targets.add(entry);
            } else {
                (isHeld(entry, nowNanos) ? held : others).add(entry);
            }
        }
        if (rollout == null) {
            return List.of(others, held);
        }
        others.addAll(others.isEmpty() ? held : List.of());
        if (!others.isEmpty()) {
            othersSeenNanos.put(service, nowNanos);
        }
        return switch (rollout.preference(othersEligible(service, nowNanos), nowNanos)) {
            case CANARY_FIRST -> List.of(canaries(rollout.order(), targets), others);
            case TARGET_FIRST -> List.of(targets, others);
            case OTHERS_FIRST -> List.of(others, targets);
            case OTHERS_ONLY -> List.of(others);
        };
    }

    /**
     * Returns the servers of the target that share its requests: so few that each has the load of any other server,
     * since a version may be bad only under load.
     */
    private List<BackendEntry> canaries(RolloutOrder order, List<BackendEntry> targets) {
        int count = Math.max(MIN_CANARY_SERVERS, (int) Math.ceil(targets.size() * settings.canaryShare()));
        if (targets.size() <= count) {
            return targets;
        }
        return targets.stream()
                .sorted(Comparator.comparingLong(
                        entry -> HashUtils.mix(HashUtils.hash(entry.server().value()) + order.revision())))
                .limit(count)
                .toList();
    }

    private boolean othersEligible(ServiceName service, long nowNanos) {
        return nowNanos - othersSeenNanos.computeIfAbsent(service, name -> nowNanos) < OTHERS_GONE_TIME.toNanos();
    }

    private boolean isHeld(BackendEntry entry, long nowNanos) {
        return nowNanos < heldUntilNanos.get(entry.service()).getOrDefault(entry.version(), nowNanos);
    }

    /** Starts to hold back the versions that appear after the first ones of a service. */
    private void holdNewVersions(ServiceName service, List<BackendEntry> eligible, long nowNanos) {
        boolean first = !heldUntilNanos.containsKey(service);
        Map<String, Long> versions = heldUntilNanos.computeIfAbsent(service, name -> new HashMap<>());
        for (BackendEntry entry : eligible) {
            versions.computeIfAbsent(
                    entry.version(), version -> first ? nowNanos : nowNanos + NEW_VERSION_HOLD.toNanos());
        }
        if (versions.isEmpty()) {
            heldUntilNanos.remove(service);
        }
    }

    @Override
    public boolean trySend(BackendEntry entry, long nowNanos) {
        ServiceRollout rollout = rollouts.get(entry.service());
        return rollout == null
                || rollout.trySend(
                        rollout.isTarget(entry.version()), othersEligible(entry.service(), nowNanos), nowNanos);
    }

    /**
     * Records a response, or the end of the wait for one.
     *
     * @param entry server; its connection was not broken and it did not reject the request
     * @param route name of the route
     * @param failed true for a failure
     * @param latency latency in a unit that is the same for all responses of a route and a fraction of usual ones; 0
     *     if it says nothing, as that of a cold server
     */
    public void recordResponse(BackendEntry entry, String route, boolean failed, long latency) {
        ServiceRollout rollout = rollouts.get(entry.service());
        if (rollout != null) {
            String server = rollout.isTarget(entry.version()) ? entry.server().value() : "";
            rollout.record(new CountKey(route, server), failed, latency, timers.nowNanos());
        }
    }

    /**
     * Returns the reports for the peers.
     *
     * @return reports; empty without roll-outs
     */
    public List<RolloutReport> reports() {
        return rollouts.values().stream()
                .filter(rollout -> !rollout.withdrawn())
                .map(rollout -> rollout.report(timers.nowNanos()))
                .toList();
    }

    /**
     * Processes a report of a peer.
     *
     * @param incarnation random number of the life of the peer
     * @param report report
     */
    public void receive(long incarnation, RolloutReport report) {
        ServiceRollout rollout = rollouts.get(report.service());
        if (rollout != null) {
            rollout.receive(incarnation, report, timers.nowNanos());
        }
    }

    /**
     * Returns the phase of a roll-out.
     *
     * @param service service
     * @return phase, or empty without an order
     */
    public Optional<RolloutPhase> phase(ServiceName service) {
        return Optional.ofNullable(rollouts.get(service))
                .filter(rollout -> !rollout.withdrawn())
                .map(ServiceRollout::phase);
    }

    /**
     * Returns the responses during a roll-out that the fleet reports.
     *
     * @param service service
     * @param target true for those of the target, false for those of the other versions
     * @return responses; none without an order
     */
    public VersionCounts counts(ServiceName service, boolean target) {
        ServiceRollout rollout = rollouts.get(service);
        return rollout == null ? VersionCounts.NONE : rollout.counts(target);
    }

    private void evaluate() {
        long nowNanos = timers.nowNanos();
        for (ServiceRollout rollout : List.copyOf(rollouts.values())) {
            RolloutOrder order = rollout.order();
            if (fleet.hasOthers(order.service(), order.target())) {
                // Requests come too rarely, or only to tried servers, to show that others are there.
                othersSeenNanos.put(order.service(), nowNanos);
            }
            rollout.evaluate(nowNanos);
        }
    }
}
