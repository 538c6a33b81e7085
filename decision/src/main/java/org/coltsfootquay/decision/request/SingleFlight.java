package org.coltsfootquay.decision.request;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Joins identical idempotent application GETs of one workspace into one request.
 *
 * <p>A request joins a flight only until the flight is sent, so the answer is never older than the request: a caller
 * that wrote something and then reads sees its own write. All callers of a flight receive the same answer or error. Not
 * thread-safe: one thread drives it.
 */
public final class SingleFlight {

    private final Map<Key, Flight> joinableFlights = new HashMap<>();
    private final Map<RequestId, Flight> flightsByFlow = new HashMap<>();

    /**
     * Joins the flight of a key, or starts one.
     *
     * @param key what makes two requests identical
     * @param caller identifier of the caller's request
     * @return identifier of the request whose flow serves the caller; equal to {@code caller} if a flow must be started
     */
    public RequestId join(Key key, RequestId caller) {
        Flight flight = joinableFlights.computeIfAbsent(key, unused -> new Flight(key, caller));
        flight.callers.add(caller);
        flightsByFlow.putIfAbsent(flight.flow, flight);
        return flight.flow;
    }

    /**
     * Notes that a flow opened its request on a server; later requests start a new flight.
     *
     * @param flow identifier of the flow's request
     */
    public void markSent(RequestId flow) {
        Flight flight = flightsByFlow.get(flow);
        if (flight != null) {
            joinableFlights.remove(flight.key, flight);
        }
    }

    /**
     * Removes a caller that went away.
     *
     * @param flow identifier of the flow's request
     * @param caller identifier of the caller's request
     * @return true if nobody waits for the flow any more, so that it must receive {@link RequestEvent.CallerDisconnected}
     */
    public boolean removeCaller(RequestId flow, RequestId caller) {
        Flight flight = flightsByFlow.get(flow);
        if (flight == null) {
            return true;
        }
        flight.callers.remove(caller);
        if (!flight.callers.isEmpty()) {
            return false;
        }
        finish(flow);
        return true;
    }

    /**
     * Ends a flight.
     *
     * @param flow identifier of the flow's request
     * @return callers that receive the answer or error, in the order in which they joined
     */
    public Set<RequestId> finish(RequestId flow) {
        Flight flight = flightsByFlow.remove(flow);
        if (flight == null) {
            return Set.of();
        }
        joinableFlights.remove(flight.key, flight);
        return flight.callers;
    }

    /**
     * Returns the number of flights that did not end.
     *
     * @return number
     */
    public int size() {
        return flightsByFlow.size();
    }

    /**
     * What makes two requests identical.
     *
     * @param workspace workspace; answers never cross workspaces
     * @param target method, path, query and class of work
     * @param headerDigest digest of the headers that are passed on
     */
    public record Key(WorkspaceId workspace, String target, String headerDigest) {}

    private static final class Flight {

        private final Key key;
        private final RequestId flow;
        private final Set<RequestId> callers = new LinkedHashSet<>();

        private Flight(Key key, RequestId flow) {
            this.key = key;
            this.flow = flow;
        }
    }
}
