package org.coltsfootquay.decision.fairness;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Node of the tree that aggregates usage over the fleet; each router is one node.
 *
 * <p>Usage reports are sent up the tree and totals are sent down. A router without a parent is the root. Not
 * thread-safe.
 */
public final class AggregationNode {

    /** Number of periods without a message after which the next router in rank replaces the parent. */
    private static final int MAX_MISSED_PERIODS = 3;

    private static final long MIN_PERIOD_NANOS = Duration.ofMillis(250).toNanos();
    private static final long MAX_PERIOD_NANOS = Duration.ofSeconds(4).toNanos();

    /** Bandwidth limit for the reports of one router; together with the totals it stays below 4 KB/s. */
    private static final double REPORT_BYTES_PER_SECOND = 1_250;

    /** Bandwidth limit for the totals that one router sends to its children. */
    private static final double TOTALS_BYTES_PER_SECOND = 2_250;

    /** Approximate encoded size of a message without entries, and of one entry. */
    private static final int MESSAGE_BYTES = 110;

    private static final int ENTRY_BYTES = 36;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RouterId self;
    private final UsageReporter reporter;
    private final Map<RouterId, UsageReceiver> children = new LinkedHashMap<>();

    /** Reporters of the usage of this region, one for the root of each other region. */
    private final Map<RouterId, UsageReporter> regionReporters = new HashMap<>();

    private final Map<RouterId, UsageReceiver> regionReceivers = new HashMap<>();
    private final Set<UsageKey> localBacklogged = new HashSet<>();
    private final Map<RouterId, Long> suspectedUntilNanos = new HashMap<>();
    private Map<ServiceName, List<ServiceTotals.OwnerLoad>> localLoads = Map.of();
    private List<RouterId> membersByRank = List.of();
    private int rank = -1;
    private RouterId parent;
    private RootTotals root;
    private FleetTotals totals = FleetTotals.none();
    private long totalsAsOfNanos;
    private long lastParentMessageNanos;

    /** Observed interval between totals from the parent, whose period may be much longer than that of this router. */
    private long parentPeriodNanos = MAX_PERIOD_NANOS;

    private long periodNanos = MIN_PERIOD_NANOS;
    private long nextReportNanos;
    private boolean storeReachable = true;
    private long localDigest;
    private long configurationVersion;
    private boolean started;

    /** Whether this router is the root only because the routers that could be its parent are silent. */
    private boolean actingRoot;

    /**
     * Messages to send; their order does not matter.
     *
     * @param parent parent; empty at the root
     * @param report report to the parent; empty at the root
     * @param regionReports reports by root of another region; only at the root
     * @param totals totals by child; the root of another region is sent only an acknowledgement
     */
    public record Output(
            Optional<RouterId> parent,
            Optional<UsageReport> report,
            Map<RouterId, UsageReport> regionReports,
            Map<RouterId, FleetTotals> totals) {

        private static final Output NONE = new Output(Optional.empty(), Optional.empty(), Map.of(), Map.of());
    }

    /**
     * Creates a node.
     *
     * @param self this router
     * @param session number of the first session, greater than that of any earlier start of this router
     */
    public AggregationNode(RouterId self, long session) {
        this.self = ArgumentUtils.requireValue(self, "self");
        this.reporter = new UsageReporter(session);
    }

    /**
     * Sets the members of the region.
     *
     * @param members members by ascending rank, starting with the root
     * @param nowNanos current time
     */
    public void setMembers(List<RouterId> members, long nowNanos) {
        membersByRank = List.copyOf(members);
        rank = membersByRank.indexOf(self);
        children.keySet().retainAll(new HashSet<>(membersByRank));
        selectParent(nowNanos);
    }

    /**
     * Sets the roots of the other regions; only the root of this region exchanges usage with them.
     *
     * @param roots roots of the other regions
     */
    public void setOtherRoots(Set<RouterId> roots) {
        regionReporters.keySet().retainAll(roots);
        regionReceivers.keySet().retainAll(roots);
        roots.forEach(other -> regionReporters.computeIfAbsent(other, any -> new UsageReporter(reporter.session())));
    }

    /**
     * Sets the local status that this router includes in its reports.
     *
     * @param reachable whether the store can be reached
     * @param digest digest of this router, reported while the store cannot be reached
     * @param version configuration version in effect
     */
    public void setLocalStatus(boolean reachable, long digest, long version) {
        localDigest = digest;
        storeReachable = reachable;
        configurationVersion = version;
    }

    /**
     * Adds the usage charged by this router.
     *
     * @param usage increments of all dispatchers since the last call
     * @param loads current load of each dispatcher, by service
     * @param nowNanos current time
     */
    public void recordUsage(
            List<WorkspaceUsage> usage, Map<ServiceName, List<ServiceTotals.OwnerLoad>> loads, long nowNanos) {
        localLoads = Map.copyOf(loads);
        localBacklogged.clear();
        for (WorkspaceUsage increment : usage) {
            UsageKey key = new UsageKey(increment.workspace(), increment.service());
            add(key, increment.units(), nowNanos);
            if (increment.backlogged()) {
                localBacklogged.add(key);
            }
        }
    }

    /**
     * Receives a usage report from a child or from the root of another region.
     *
     * @param child sender
     * @param report report
     * @param nowNanos current time
     */
    public void receive(RouterId child, UsageReport report, long nowNanos) {
        if (!regionReporters.containsKey(child)) {
            children.computeIfAbsent(child, any -> new UsageReceiver())
                    .receive(report, nowNanos, (key, units) -> add(key, units, nowNanos));
        } else if (root != null) {
            regionReceivers
                    .computeIfAbsent(child, any -> new UsageReceiver())
                    .receive(report, nowNanos, (key, units) -> root.add(key, units, nowNanos));
        }
    }

    /**
     * Receives totals from the parent. They are forwarded at once, so that they do not age on their way down.
     *
     * @param sender sender; totals from a router other than the parent are ignored
     * @param received totals
     * @param nowNanos current time
     * @return totals to send to each child
     */
    public Map<RouterId, FleetTotals> receive(RouterId sender, FleetTotals received, long nowNanos) {
        UsageReporter regionReporter = regionReporters.get(sender);
        if (regionReporter != null) {
            regionReporter.acknowledge(received.acknowledgedSequence());
        }
        if (!sender.equals(parent)) {
            return Map.of();
        }
        long interval = Math.min(MAX_PERIOD_NANOS, nowNanos - lastParentMessageNanos);
        parentPeriodNanos = Math.max(interval, parentPeriodNanos - parentPeriodNanos / 5);
        lastParentMessageNanos = nowNanos;
        reporter.acknowledge(received.acknowledgedSequence());
        if (received.version() >= totals.version()) {
            totals = received;
            totalsAsOfNanos = nowNanos - received.ageMillis() * NANOS_PER_MILLI;
        }
        return totalsForChildren(nowNanos);
    }

    /**
     * Returns whether the next tick sends messages, so that local usage should be drained and recorded first.
     *
     * @param nowNanos current time
     * @return true if the report period has elapsed
     */
    public boolean isDue(long nowNanos) {
        return !started || nowNanos >= nextReportNanos;
    }

    /**
     * Creates the reports and totals to send if the report period has elapsed.
     *
     * @param nowNanos current time
     * @return messages to send; none until the period has elapsed
     */
    public Output tick(long nowNanos) {
        if (!isDue(nowNanos)) {
            return Output.NONE;
        }
        started = true;
        checkParent(nowNanos);
        children.values().removeIf(child -> nowNanos - child.receivedNanos() > silenceTimeout(MAX_PERIOD_NANOS));
        Subtree subtree = subtree(nowNanos);
        Optional<UsageReport> report = Optional.empty();
        Map<RouterId, UsageReport> regionReports = new LinkedHashMap<>();
        Map<RouterId, FleetTotals> outgoing = new LinkedHashMap<>();
        if (root != null) {
            regionReporters.forEach(
                    (other, regionReporter) -> regionReports.put(other, subtree.report(regionReporter, nowNanos)));
            updateTotals(subtree, nowNanos);
            regionReceivers.forEach((other, receiver) -> outgoing.put(
                    other,
                    FleetTotals.none().withAcknowledgement(receiver.last().sequence(), 0)));
        } else {
            report = Optional.of(subtree.report(reporter, nowNanos));
        }
        if (root != null) {
            outgoing.putAll(totalsForChildren(nowNanos));
        }
        adaptPeriod(report, nowNanos);
        return new Output(Optional.ofNullable(parent), report, regionReports, outgoing);
    }

    /**
     * Returns the totals in the form that the dispatchers of this router use.
     *
     * @return totals by service
     */
    public ServiceTotals serviceTotals() {
        Map<ServiceName, Map<WorkspaceId, Long>> offsets = new HashMap<>();
        Map<ServiceName, Map<WorkspaceId, Long>> rates = new HashMap<>();
        for (FleetTotals.Offset offset : totals.offsets()) {
            offsets.computeIfAbsent(offset.service(), any -> new HashMap<>()).put(offset.workspace(), offset.units());
            rates.computeIfAbsent(offset.service(), any -> new HashMap<>())
                    .put(offset.workspace(), offset.unitsPerSecond());
        }
        Map<ServiceName, ServiceTotals.Totals> byService = new HashMap<>();
        offsets.forEach((service, byWorkspace) -> {
            FleetTotals.Rate rate = totals.rates().getOrDefault(service, new FleetTotals.Rate(0, byWorkspace.size()));
            byService.put(
                    service,
                    new ServiceTotals.Totals(
                            byWorkspace,
                            rates.get(service),
                            rate.unitsPerSecond(),
                            rate.backlogged(),
                            totalsAsOfNanos));
        });
        return new ServiceTotals(byService, totals.loads(), totals.version());
    }

    /**
     * Returns the newest totals.
     *
     * @return totals
     */
    public FleetTotals totals() {
        return totals;
    }

    /**
     * Returns whether this router is the root.
     *
     * @return true if it has no parent
     */
    public boolean isRoot() {
        return root != null;
    }

    /**
     * Returns the current parent.
     *
     * @return parent; empty at the root
     */
    public Optional<RouterId> parent() {
        return Optional.ofNullable(parent);
    }

    /**
     * Returns the interval between two reports, or at the root between two totals.
     *
     * @return period
     */
    public Duration period() {
        return Duration.ofNanos(periodNanos);
    }

    private void add(UsageKey key, long units, long now) {
        if (root != null) {
            root.add(key, units, now);
            regionReporters.values().forEach(regionReporter -> regionReporter.add(key, units));
        }
        // An acting root may still have to report this usage to a previous parent that was only slow.
        if (root == null || actingRoot) {
            reporter.add(key, units);
        }
    }

    private Map<RouterId, FleetTotals> totalsForChildren(long now) {
        Map<RouterId, FleetTotals> outgoing = new LinkedHashMap<>();
        long age = (now - totalsAsOfNanos) / NANOS_PER_MILLI;
        children.forEach((child, receiver) ->
                outgoing.put(child, totals.withAcknowledgement(receiver.last().sequence(), age)));
        return outgoing;
    }

    private Subtree subtree(long now) {
        Subtree subtree = new Subtree();
        subtree.backlogged.addAll(localBacklogged);
        subtree.loads.add(localLoads);
        subtree.routersWithoutStore = storeReachable ? 0 : 1;
        subtree.withoutStoreDigest = storeReachable ? 0 : localDigest;
        subtree.version = configurationVersion;
        subtree.oldestNanos = now;
        children.values().forEach(subtree::add);
        return subtree;
    }

    private void updateTotals(Subtree subtree, long now) {
        long oldestNanos = subtree.oldestNanos;
        Set<UsageKey> backlogged = new HashSet<>(subtree.backlogged);
        for (UsageReceiver region : regionReceivers.values()) {
            // During a partition between regions the totals cover this region only; the rest is added afterwards.
            if (now - region.receivedNanos() <= silenceTimeout(MAX_PERIOD_NANOS)) {
                backlogged.addAll(region.backlogged());
                oldestNanos = Math.min(oldestNanos, region.dataNanos());
            }
        }
        totals = new FleetTotals(
                totals.version() + 1,
                0,
                (now - oldestNanos) / NANOS_PER_MILLI,
                root.offsets(backlogged, now),
                root.rates(now),
                subtree.loads.select(),
                subtree.routers,
                subtree.routersWithoutStore,
                subtree.withoutStoreDigest,
                subtree.version);
        totalsAsOfNanos = oldestNanos;
    }

    private void checkParent(long now) {
        if (parent != null && now - lastParentMessageNanos > silenceTimeout(parentPeriodNanos)) {
            // The parent may only be slow; it is tried again after the time in which a lease expires.
            suspectedUntilNanos.put(parent, now + Duration.ofSeconds(9).toNanos());
            selectParent(now);
        } else if (!suspectedUntilNanos.isEmpty()) {
            suspectedUntilNanos.values().removeIf(until -> until <= now);
            selectParent(now);
        }
    }

    private long silenceTimeout(long period) {
        return Math.max(Duration.ofSeconds(1).toNanos(), MAX_MISSED_PERIODS * period);
    }

    private void selectParent(long now) {
        RouterId selected = null;
        for (int candidate = Math.max(0, AggregationTree.parentRank(rank)); candidate < rank; candidate++) {
            if (!suspectedUntilNanos.containsKey(membersByRank.get(candidate))) {
                selected = membersByRank.get(candidate);
                break;
            }
        }
        if (selected == null) {
            becomeRoot(now);
        } else if (!selected.equals(parent)) {
            root = null;
            actingRoot = false;
            reporter.changeParent();
            parent = selected;
            lastParentMessageNanos = now;
            parentPeriodNanos = MAX_PERIOD_NANOS;
        }
    }

    private void becomeRoot(long now) {
        if (root == null) {
            root = new RootTotals();
            root.restore(totals, now);
            reporter.unacknowledged().forEach((key, units) -> root.add(key, units, now));
        }
        parent = null;
        actingRoot = rank > 0;
        if (!actingRoot) {
            reporter.clear();
        }
    }

    /**
     * Adapts the period until the next report, or at the root until the next totals, to the bandwidth limit.
     *
     * <p>Routers forward totals when they receive them, so the period of the root also bounds the totals traffic of all
     * others.
     */
    private void adaptPeriod(Optional<UsageReport> report, long now) {
        double seconds;
        if (report.isPresent()) {
            seconds =
                    (MESSAGE_BYTES + ENTRY_BYTES * (double) report.get().usage().size()) / REPORT_BYTES_PER_SECOND;
        } else {
            double bytes =
                    MESSAGE_BYTES + ENTRY_BYTES * (double) totals.offsets().size();
            seconds = Math.min(AggregationTree.FAN_IN, children.size()) * bytes / TOTALS_BYTES_PER_SECOND;
        }
        long wanted = (long) (seconds * 1e9);
        periodNanos = Math.min(MAX_PERIOD_NANOS, Math.max(MIN_PERIOD_NANOS, wanted));
        nextReportNanos = now + periodNanos;
    }

    /** Aggregate of the state of this router and the reports of its children. */
    private static final class Subtree {

        private final Set<UsageKey> backlogged = new HashSet<>();
        private final OwnerLoadSelector loads = new OwnerLoadSelector();
        private int routers = 1;
        private int routersWithoutStore;
        private long withoutStoreDigest;
        private long version;
        private long oldestNanos;

        private void add(UsageReceiver child) {
            backlogged.addAll(child.backlogged());
            loads.add(child.last().loads());
            routers += child.last().routersInSubtree();
            routersWithoutStore += child.last().routersWithoutStore();
            withoutStoreDigest += child.last().withoutStoreDigest();
            version = Math.max(version, child.last().configurationVersion());
            oldestNanos = Math.min(oldestNanos, child.dataNanos());
        }

        private UsageReport report(UsageReporter reporter, long now) {
            List<WorkspaceUsage> usage = reporter.nextUsage(backlogged);
            return new UsageReport(
                    reporter.session(),
                    reporter.sequence(),
                    usage,
                    loads.select(),
                    routers,
                    routersWithoutStore,
                    withoutStoreDigest,
                    version,
                    (now - oldestNanos) / NANOS_PER_MILLI);
        }
    }
}
