package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.admission.Demand;
import org.coltsfootquay.decision.admission.DemandTracker;
import org.coltsfootquay.decision.backend.BackendRegistry;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.decision.timer.TimerService.ScheduledTask;
import org.coltsfootquay.decision.waiting.PeerQueues;
import org.coltsfootquay.decision.waiting.PlaceQuery;
import org.coltsfootquay.decision.waiting.RequestClass;
import org.coltsfootquay.decision.waiting.WaitingLimits;
import org.coltsfootquay.decision.waiting.WaitingQueue;
import org.coltsfootquay.decision.waiting.WaitingRequest;
import org.coltsfootquay.decision.waiting.WaitingRequest.Refusal;
import org.coltsfootquay.decision.waiting.WaitingRoom;
import org.coltsfootquay.decision.waiting.WaitingRoom.Verdict;
import org.coltsfootquay.decision.waiting.WaitingSum;
import org.coltsfootquay.router.metrics.RouterMetrics;

/**
 * Requests of this router that wait until a server has room; runs on the event loop.
 *
 * <p>Requests are checked again soon after room may have appeared, and at regular intervals; each time only a bounded
 * number, so that hundreds of waiting requests do not occupy the processor. While the event loop lags they are checked
 * after the sockets are read, since callers may have disconnected; requests whose time is up are refused before.
 */
public final class WaitingRequests {

    /** Interval at which waiting requests are checked; also the time by which they may be refused early. */
    static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

    /** Time from the first sign of room to the check; bounds the rate of checks. */
    static final Duration CHECK_DELAY = Duration.ofMillis(10);

    /** Maximum number of requests that one check examines, of all services. */
    private static final int MAX_EXAMINED = 16;

    private final TimerService timers;
    private final DemandTracker demands;
    private final BackendRegistry registry;
    private final EventLoopLag eventLoopLag;
    private final RouterMetrics metrics;
    private final RandomGenerator random;
    private final PeerQueues peers = new PeerQueues();
    private final Map<ServiceName, WaitingRoom> rooms = new HashMap<>();
    private Optional<WaitingLimits> limits = Optional.empty();

    /** Numbers of eligible servers, counted once per check. */
    private final Map<ServiceName, Integer> serverCounts = new HashMap<>();

    private boolean examinationPending;
    private ScheduledTask check;
    private long checkNanos;

    WaitingRequests(
            TimerService timers,
            DemandTracker demands,
            BackendRegistry registry,
            EventLoopLag eventLoopLag,
            RouterMetrics metrics,
            RandomGenerator random) {
        this.timers = timers;
        this.demands = demands;
        this.registry = registry;
        this.eventLoopLag = eventLoopLag;
        this.metrics = metrics;
        this.random = random;
    }

    /**
     * Lets requests wait; without this call each is sent or refused at once.
     *
     * @param waitingLimits bounds for each service
     */
    public void enable(WaitingLimits waitingLimits) {
        limits = Optional.of(waitingLimits);
    }

    /** Returns whether requests wait in a fleet of a number of routers. */
    boolean enabled(int routers) {
        return limits.isPresent() && routers >= limits.get().minRouters();
    }

    /** Returns the part of its time for which a request may wait. */
    double timeShare() {
        return limits.orElse(WaitingLimits.DEFAULT).timeShare();
    }

    /** Records that a request has arrived. */
    void requested(ServiceName service, RequestClass requestClass) {
        room(service).queue().classes().recordRequested(requestClass, now());
    }

    /** Records that a request is sent to a server. */
    void sent(ServiceName service, RequestClass requestClass) {
        room(service).recordSent(requestClass, now());
    }

    /** Returns the demands for a service, weighted by the priority of a request. */
    Map<WorkspaceId, Demand> weightedDemands(ServiceName service, RequestClass requestClass, WorkspaceId workspace) {
        return room(service).weightedDemands(requestClass, workspace, demands.totalDemands(service, now()));
    }

    /** Decides on a request; it waits already unless {@code waiting} is empty. */
    Verdict decide(ServiceName service, Optional<WaitingRequest> waiting, PlaceQuery query) {
        long now = now();
        double peerTokens = peers.tokens(service, now);
        int servers = waiting.isPresent() && peerTokens > 0
                ? serverCounts.computeIfAbsent(
                        service, name -> registry.eligible(name, now).size())
                : 1;
        return room(service).decide(waiting, query, peerTokens, servers, now);
    }

    /**
     * Adds a request, or refuses it or others if there is no room.
     *
     * @param mayHaveRoom true if the server may have room for it, unless others go first
     */
    void add(ServiceName service, WaitingRequest request, ServerName server, boolean mayHaveRoom) {
        long now = now();
        if (!mayWait(request.expiresNanos())) {
            refuse(service, request, Refusal.WAITED_TOO_LONG);
            return;
        }
        WaitingQueue queue = room(service).queue();
        List<WaitingRequest> refused = queue.add(request, server, demands.totalDemands(service, now), now);
        metrics.count("coltsfootquay_waiting_entered_total{service=\"" + service + "\",priority=\""
                + request.requestClass().priority() + "\"}");
        checkWithin(mayHaveRoom ? CHECK_DELAY : CHECK_INTERVAL);
        refused.forEach(last -> refuse(service, last, Refusal.QUEUE_FULL));
    }

    /** Sets the server that a waiting request would be sent to. */
    void setServer(ServiceName service, WaitingRequest request, ServerName server) {
        room(service).queue().setServer(request, server);
    }

    /** Returns whether a request that expires at the given time may wait for a check. */
    boolean mayWait(long expiresNanos) {
        return expiresNanos - now() > CHECK_INTERVAL.toNanos();
    }

    /** Removes a request that is sent, refused or left by its caller. */
    void remove(ServiceName service, WaitingRequest request) {
        room(service).queue().remove(request);
    }

    /** Returns when a refused caller should return. */
    Duration nextReturn(ServiceName service, Duration earliest, Duration latest) {
        return room(service).returns().nextReturn(earliest, latest, now());
    }

    /** Returns whether requests wait for a service at this router or, by their last reports, at others. */
    boolean anyWaits(ServiceName service) {
        WaitingRoom own = rooms.get(service);
        return (own != null && !own.queue().isEmpty()) || peers.tokens(service, now()) > 0;
    }

    /** Checks the requests soon, since a server may have room. */
    public void roomChanged() {
        if (anythingWaits()) {
            checkWithin(CHECK_DELAY);
        }
    }

    /**
     * Returns what waits at this router.
     *
     * @return sums by service and priority; empty for a service for which nothing waits any more
     */
    public Map<ServiceName, Map<Integer, WaitingSum>> sums() {
        Map<ServiceName, Map<Integer, WaitingSum>> sums = new TreeMap<>();
        rooms.forEach((service, room) -> sums.put(service, room.queue().sumsByPriority()));
        return sums;
    }

    /**
     * Replaces what waits at another router.
     *
     * @param peer router
     * @param tokens weighted tokens by service
     */
    public void peerReported(RouterId peer, Map<ServiceName, Double> tokens) {
        peers.replaceReport(peer, tokens, now());
    }

    private void checkWithin(Duration delay) {
        long due = now() + delay.toNanos();
        if (check != null) {
            if (checkNanos - due <= 0) {
                return;
            }
            check.cancel();
        }
        checkNanos = due;
        check = timers.scheduleOnce("waiting requests", delay, this::checkAll);
    }

    private void checkAll() {
        check = null;
        long now = now();
        waitingQueues()
                .forEach(entry -> entry.getValue()
                        .removeExpired(now + CHECK_INTERVAL.toNanos())
                        .forEach(request -> refuse(entry.getKey(), request, Refusal.WAITED_TOO_LONG)));
        if (!examinationPending) {
            examinationPending = true;
            eventLoopLag.runAfterPendingReads(this::examineAll);
        }
        if (anythingWaits()) {
            checkWithin(CHECK_INTERVAL);
        }
    }

    private void examineAll() {
        examinationPending = false;
        serverCounts.clear();
        long now = now();
        List<Map.Entry<ServiceName, WaitingQueue>> waiting = waitingQueues();
        int examined = Math.max(1, MAX_EXAMINED / Math.max(1, waiting.size()));
        waiting.forEach(entry -> entry.getValue()
                .examine(demands.totalDemands(entry.getKey(), now), now, examined)
                .forEach(request -> request.listener().recheck()));
    }

    private List<Map.Entry<ServiceName, WaitingQueue>> waitingQueues() {
        return rooms.entrySet().stream()
                .filter(entry -> !entry.getValue().queue().isEmpty())
                .map(entry -> Map.entry(entry.getKey(), entry.getValue().queue()))
                .toList();
    }

    private void refuse(ServiceName service, WaitingRequest request, Refusal reason) {
        metrics.count("coltsfootquay_waiting_refused_total{service=\"" + service + "\",reason=\"" + reason + "\"}");
        request.listener().refuse(reason);
    }

    private boolean anythingWaits() {
        return rooms.values().stream().anyMatch(room -> !room.queue().isEmpty());
    }

    private WaitingRoom room(ServiceName service) {
        return rooms.computeIfAbsent(service, name -> {
            WaitingRoom room = new WaitingRoom(limits.orElse(WaitingLimits.DEFAULT), random);
            metrics.gauge(
                    "coltsfootquay_waiting_requests{service=\"" + service + "\"}",
                    () -> room.queue().requests().size());
            return room;
        });
    }

    private long now() {
        return timers.nowNanos();
    }
}
