package org.coltsfootquay.router.node;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.admission.Demand;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.selection.ServerLoad;

/** Messages of one beacon of a peer that have been received so far; not thread-safe. */
final class ReceivedBeacon {

    private final int messages;
    private final BitSet received = new BitSet();
    private final Map<ServerName, ServerLoad> loads = new HashMap<>();
    private final Map<ServiceName, Map<WorkspaceId, Demand>> demands = new HashMap<>();

    ReceivedBeacon(int messages) {
        this.messages = messages;
    }

    /** Adds a message; returns false if it was received before or has an invalid number. */
    boolean add(
            int number,
            Map<ServerName, ServerLoad> messageLoads,
            Map<ServiceName, Map<WorkspaceId, Demand>> messageDemands) {
        if (number < 0 || number >= messages || received.get(number)) {
            return false;
        }
        received.set(number);
        loads.putAll(messageLoads);
        messageDemands.forEach((service, workspaces) ->
                demands.computeIfAbsent(service, name -> new HashMap<>()).putAll(workspaces));
        return true;
    }

    boolean complete() {
        return missing() == 0;
    }

    /** Returns the number of messages that were not received. */
    int missing() {
        return messages - received.cardinality();
    }

    /** Returns all loads of the messages received so far. */
    Map<ServerName, ServerLoad> loads() {
        return loads;
    }

    /** Returns all demands of the messages received so far. */
    Map<ServiceName, Map<WorkspaceId, Demand>> demands() {
        return demands;
    }
}
