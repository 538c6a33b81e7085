package org.coltsfootquay.decision.request;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Coalesces identical idempotent application GETs of one workspace into one request.
 *
 * <p>A request joins a flight only until the flight is sent, so the response is never older than the request: a caller
 * that writes and then reads sees its own write. All callers of a flight receive the same response or error. Not
 * thread-safe.
 */
public final class SingleFlight {

    private final Map<Key, Flight> joinableFlights = new HashMap<>();
    private final Map<RequestId, Flight> flightsByFlow = new HashMap<>();

    /**
     * Joins the flight of a key, or starts one.
     *
     * @param key key that identical requests share
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
     * Marks a flight as sent to a server; later requests start a new flight.
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
     * Removes a caller that disconnected.
     *
     * @param flow identifier of the flow's request
     * @param caller identifier of the caller's request
     * @return true if no caller waits for the flow any more and it must receive {@link RequestEvent.CallerDisconnected}
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
     * @return callers that receive the response or error, in the order in which they joined
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
     * Returns the number of flights that have not ended.
     *
     * @return number
     */
    public int size() {
        return flightsByFlow.size();
    }

    /**
     * Key that identical requests share.
     *
     * @param workspace workspace; responses are never shared between workspaces
     * @param target method, path, query and class of work
     * @param headerDigest digest of the headers that are forwarded
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
