package org.coltsfootquay.decision.waiting;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.admission.AdmissionDecision.Reason;
import org.coltsfootquay.decision.admission.Demand;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Decides whether a request for one service is sent, waits at this router or is refused; not thread-safe.
 *
 * <p>Handles an overload during which requests arrive at all routers: a request that finds room is sent at once unless
 * it would overtake others, one that would be late anyway only to a server without a queue, and one that cannot be
 * served in its time is refused without waiting.
 */
public final class WaitingRoom {

    private final WaitingQueue queue;
    private final ReturnSchedule returns;
    private final PlaceDraw draw;

    /**
     * Creates a room in which nothing waits.
     *
     * @param limits bounds
     * @param random source of randomness
     */
    public WaitingRoom(WaitingLimits limits, RandomGenerator random) {
        this.queue = new WaitingQueue(limits);
        this.returns = new ReturnSchedule(random);
        this.draw = new PlaceDraw(random);
    }

    /** What becomes of a request. */
    public enum Verdict {
        /** It is sent to the selected server. */
        SEND,

        /** It waits. */
        WAIT,

        /** It is refused, since it cannot be served in its time. */
        REFUSE
    }

    /**
     * Returns the requests that wait.
     *
     * @return queue
     */
    public WaitingQueue queue() {
        return queue;
    }

    /**
     * Returns when refused callers return.
     *
     * @return schedule
     */
    public ReturnSchedule returns() {
        return returns;
    }

    /**
     * Returns the demands by which the admission of a request is decided: its workspace counts as having got less if
     * the request is urgent, and more if it is not.
     *
     * @param requestClass class of the request
     * @param workspace workspace
     * @param demands demands of all workspaces
     * @return demands weighted by priority
     */
    public Map<WorkspaceId, Demand> weightedDemands(
            RequestClass requestClass, WorkspaceId workspace, Map<WorkspaceId, Demand> demands) {
        double factor = queue.classes().shareFactor(requestClass);
        Demand own = demands.get(workspace);
        if (factor == 1 || own == null) {
            return demands;
        }
        Map<WorkspaceId, Demand> weighted = new HashMap<>(demands);
        weighted.put(workspace, new Demand(own.requestedTokens(), own.dispatchedTokens() * factor));
        return weighted;
    }

    /**
     * Decides on a request.
     *
     * @param waiting the request if it waits already
     * @param query selected server, and what the decision depends on
     * @param peerTokens weighted tokens that wait at other routers
     * @param servers number of servers of the service
     * @param nowNanos current time
     * @return what becomes of the request
     */
    public Verdict decide(
            Optional<WaitingRequest> waiting, PlaceQuery query, double peerTokens, int servers, long nowNanos) {
        if (!query.decision().admitted()) {
            return query.decision().reason() == Reason.TOO_LATE && query.hopeless() ? Verdict.REFUSE : Verdict.WAIT;
        }
        if (waiting.isEmpty()) {
            return mayOvertake(query, peerTokens) ? Verdict.SEND : Verdict.WAIT;
        }
        if (query.late() && query.decision().reason() != Reason.NO_WAIT) {
            return Verdict.WAIT;
        }
        double otherTokens = peerTokens / Math.max(1, servers);
        return draw.tryTake(
                        query.server().entry().server(),
                        queue.weightFor(query.server().entry().server()),
                        otherTokens,
                        query.places(),
                        nowNanos)
                ? Verdict.SEND
                : Verdict.WAIT;
    }

    private boolean mayOvertake(PlaceQuery query, double peerTokens) {
        if (queue.waitsFor(query.server().entry().server())) {
            return false;
        }
        return (queue.isEmpty() && peerTokens <= 0) || !query.aboveShare();
    }

    /**
     * Records that a request is sent.
     *
     * @param requestClass class of the request
     * @param nowNanos current time
     */
    public void recordSent(RequestClass requestClass, long nowNanos) {
        queue.classes().recordSent(requestClass, nowNanos);
        returns.recordSent(nowNanos);
    }
}
