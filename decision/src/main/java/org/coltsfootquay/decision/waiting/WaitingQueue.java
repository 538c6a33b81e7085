package org.coltsfootquay.decision.waiting;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.coltsfootquay.decision.admission.Demand;
import org.coltsfootquay.decision.admission.DemandTracker;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Requests that wait at one router for a server of one service, in bounded number and size; not thread-safe.
 *
 * <p>Handles an overload by several kinds of requests and workspaces at once. The order is: classes that are served too
 * rarely, urgent requests, requests that can still be on time, workspaces that got the least (which fills the shares to
 * the max-min level), and the first to expire. When the queue is full, the last in this order is refused, and of the
 * requests of its workspace that would be late anyway the one that takes most room.
 */
public final class WaitingQueue {

    /** Weight of the requests of workspaces above their fair share when places are divided among routers. */
    private static final double ABOVE_SHARE_WEIGHT = 0.05;

    /** Weight of a priority relative to the next more urgent one when places are divided among routers. */
    private static final double LESS_URGENT_WEIGHT = 0.25;

    /** Minimum size of a request when places are divided; one without a known prompt would never get a place. */
    private static final double MIN_TOKENS = 1;

    private final WaitingLimits limits;
    private final ClassService classes = new ClassService();
    private final Map<GroupKey, LinkedHashSet<WaitingRequest>> groups = new HashMap<>();
    private final Map<WaitingRequest, ServerName> servers = new HashMap<>();

    /** Weighted tokens by server and by priority; recomputed on the first read after a change. */
    private final Map<ServerName, Double> weightsByServer = new HashMap<>();

    private final Map<Integer, WaitingSum> sums = new TreeMap<>();
    private boolean weightsValid;
    private Map<WorkspaceId, Demand> lastDemands = Map.of();
    private double fairShare;

    /** All requests, those that were examined longest ago first. */
    private final LinkedHashSet<WaitingRequest> byExamination = new LinkedHashSet<>();

    private long bytes;

    /**
     * Creates an empty queue.
     *
     * @param limits bounds
     */
    public WaitingQueue(WaitingLimits limits) {
        this.limits = limits;
    }

    /**
     * Returns the rates at which classes are served.
     *
     * @return rates
     */
    public ClassService classes() {
        return classes;
    }

    /**
     * Adds a request.
     *
     * @param request request
     * @param server server that it would be sent to
     * @param demands demands of all workspaces
     * @param nowNanos current time
     * @return requests that have no place in the queue and have to be refused, possibly the added one
     */
    public List<WaitingRequest> add(
            WaitingRequest request, ServerName server, Map<WorkspaceId, Demand> demands, long nowNanos) {
        if (request.bytes() > limits.bytes()) {
            return List.of(request);
        }
        groups.computeIfAbsent(GroupKey.of(request), key -> new LinkedHashSet<>())
                .add(request);
        byExamination.add(request);
        bytes += request.bytes();
        setServer(request, server);
        setDemands(demands);
        List<WaitingRequest> refused = new ArrayList<>();
        while (byExamination.size() > limits.requests() || bytes > limits.bytes()) {
            WaitingRequest last = last(demands, nowNanos);
            remove(last);
            refused.add(last);
        }
        return refused;
    }

    /**
     * Sets the server that a waiting request would be sent to.
     *
     * @param request request
     * @param server server
     */
    public void setServer(WaitingRequest request, ServerName server) {
        if (!server.equals(servers.put(request, server))) {
            weightsValid = false;
        }
    }

    /**
     * Removes a request.
     *
     * @param request request
     * @return false if it did not wait
     */
    public boolean remove(WaitingRequest request) {
        if (!byExamination.remove(request)) {
            return false;
        }
        GroupKey key = GroupKey.of(request);
        Set<WaitingRequest> group = groups.get(key);
        group.remove(request);
        if (group.isEmpty()) {
            groups.remove(key);
        }
        servers.remove(request);
        bytes -= request.bytes();
        weightsValid = false;
        return true;
    }

    /**
     * Removes the requests that may not wait any longer.
     *
     * @param untilNanos time up to which requests expire
     * @return removed requests
     */
    public List<WaitingRequest> removeExpired(long untilNanos) {
        List<WaitingRequest> expired = byExamination.stream()
                .filter(request -> untilNanos - request.expiresNanos() >= 0)
                .toList();
        expired.forEach(this::remove);
        return expired;
    }

    /**
     * Returns the requests that are examined next: the first ones in order, and as many that were not examined for the
     * longest time, since a request that waits for another server than the first ones may be sent before them.
     *
     * @param demands demands of all workspaces
     * @param nowNanos current time
     * @param max maximum number of requests
     * @return requests in the order in which they are examined
     */
    public List<WaitingRequest> examine(Map<WorkspaceId, Demand> demands, long nowNanos, int max) {
        setDemands(demands);
        Set<WaitingRequest> examined = new LinkedHashSet<>();
        PriorityQueue<Group> order = new PriorityQueue<>(groups(demands, nowNanos));
        int first = (max + 1) / 2;
        while (examined.size() < first && !order.isEmpty()) {
            Group group = order.poll();
            WaitingRequest request = group.requests.get(group.next);
            examined.add(request);
            if (group.next + 1 < group.requests.size()) {
                order.add(group.after(request, nowNanos));
            }
        }
        for (WaitingRequest request : byExamination) {
            if (examined.size() >= max) {
                break;
            }
            examined.add(request);
        }
        byExamination.removeAll(examined);
        byExamination.addAll(examined);
        return List.copyOf(examined);
    }

    private void setDemands(Map<WorkspaceId, Demand> demands) {
        lastDemands = demands;
        fairShare = DemandTracker.maxMinFairShare(demands.values());
        weightsValid = false;
    }

    private WaitingRequest last(Map<WorkspaceId, Demand> demands, long nowNanos) {
        List<Group> all = groups(demands, nowNanos);
        Group last = all.stream()
                .map(group -> group.atEnd(nowNanos))
                .max(Comparator.naturalOrder())
                .orElseThrow();
        Optional<WaitingRequest> largestLate = last.requests.stream()
                .filter(request -> request.isLate(nowNanos))
                .max(Comparator.comparingDouble(WaitingRequest::tokens));
        return largestLate.orElseGet(() -> last.requests.get(last.next));
    }

    private List<Group> groups(Map<WorkspaceId, Demand> demands, long nowNanos) {
        List<Group> all = new ArrayList<>(groups.size());
        groups.forEach((key, requests) -> {
            List<WaitingRequest> ordered = new ArrayList<>(requests);
            ordered.sort(Comparator.comparing((WaitingRequest request) -> request.isLate(nowNanos))
                    .thenComparingLong(WaitingRequest::expiresNanos));
            double dispatched = demands.getOrDefault(key.workspace, Demand.NONE).dispatchedTokens();
            all.add(Group.of(classes.isBelowFloor(key.requestClass), key, ordered, 0, dispatched, nowNanos));
        });
        return all;
    }

    /**
     * Returns whether nothing waits.
     *
     * @return true if empty
     */
    public boolean isEmpty() {
        return byExamination.isEmpty();
    }

    /**
     * Returns the requests that wait.
     *
     * @return requests, unmodifiable
     */
    public Collection<WaitingRequest> requests() {
        return Collections.unmodifiableCollection(byExamination);
    }

    /**
     * Returns whether requests wait for a server.
     *
     * @param server server
     * @return true if the server would be sent at least one of them
     */
    public boolean waitsFor(ServerName server) {
        return servers.containsValue(server);
    }

    /**
     * Returns the claim of the requests that wait for a server on its places.
     *
     * @param server server
     * @return tokens, weighted by priority and by whether the workspace has its fair share
     */
    public double weightFor(ServerName server) {
        updateWeights();
        return weightsByServer.getOrDefault(server, 0.0);
    }

    /**
     * Returns what waits, with tokens weighted by whether their workspace has its fair share.
     *
     * @return sums by priority, unmodifiable
     */
    public Map<Integer, WaitingSum> sumsByPriority() {
        updateWeights();
        return Collections.unmodifiableMap(sums);
    }

    private void updateWeights() {
        if (weightsValid) {
            return;
        }
        weightsValid = true;
        weightsByServer.clear();
        sums.clear();
        servers.forEach((request, server) -> {
            double dispatched =
                    lastDemands.getOrDefault(request.workspace(), Demand.NONE).dispatchedTokens();
            double tokens = Math.max(MIN_TOKENS, request.tokens()) * (dispatched <= fairShare ? 1 : ABOVE_SHARE_WEIGHT);
            int priority = request.requestClass().priority();
            sums.merge(priority, new WaitingSum(1, tokens), WaitingSum::plus);
            weightsByServer.merge(server, tokens * priorityWeight(priority), Double::sum);
        });
    }

    /**
     * Returns the weight of requests of a priority when places are divided among routers.
     *
     * @param priority priority; 0 is the most urgent
     * @return weight, at most 1
     */
    public static double priorityWeight(int priority) {
        return Math.pow(LESS_URGENT_WEIGHT, priority);
    }

    private record GroupKey(RequestClass requestClass, WorkspaceId workspace) {

        private static GroupKey of(WaitingRequest request) {
            return new GroupKey(request.requestClass(), request.workspace());
        }
    }

    /** Requests of one class and workspace with the next one to examine. */
    private record Group(
            boolean belowFloor,
            GroupKey key,
            List<WaitingRequest> requests,
            int next,
            double dispatchedTokens,
            boolean late)
            implements Comparable<Group> {

        private static final Comparator<Group> ORDER = Comparator.comparing((Group group) -> !group.belowFloor)
                .thenComparingInt(group -> group.key.requestClass.priority())
                .thenComparing(group -> group.late)
                .thenComparingDouble(group -> group.dispatchedTokens)
                .thenComparingLong(group -> group.requests.get(group.next).expiresNanos());

        private static Group of(
                boolean belowFloor,
                GroupKey key,
                List<WaitingRequest> requests,
                int next,
                double dispatchedTokens,
                long nowNanos) {
            boolean late = requests.get(next).isLate(nowNanos);
            return new Group(belowFloor, key, requests, next, dispatchedTokens, late);
        }

        private Group after(WaitingRequest examined, long nowNanos) {
            return of(belowFloor, key, requests, next + 1, dispatchedTokens + examined.tokens(), nowNanos);
        }

        private Group atEnd(long nowNanos) {
            double waiting =
                    requests.stream().mapToDouble(WaitingRequest::tokens).sum();
            return of(belowFloor, key, requests, requests.size() - 1, dispatchedTokens + waiting, nowNanos);
        }

        @Override
        public int compareTo(Group other) {
            return ORDER.compare(this, other);
        }
    }
}
