package org.coltsfootquay.router.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.admission.Demand;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.latency.FirstEventObservation;
import org.coltsfootquay.decision.selection.ServerLoad;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.protocol.generated.peer.BeaconDemand;
import org.coltsfootquay.protocol.generated.peer.BeaconLoad;

/** Reads and writes the entries of beacons; entries without a name are ignored. */
final class BeaconContent {

    private BeaconContent() {}

    /** Returns the demands by service and workspace. */
    static Map<ServiceName, Map<WorkspaceId, Demand>> demands(Beacon beacon) {
        Map<ServiceName, Map<WorkspaceId, Demand>> demands = new HashMap<>();
        for (BeaconDemand demand : beacon.getDemandsList()) {
            if (!demand.getService().isEmpty() && !demand.getWorkspace().isEmpty()) {
                demands.computeIfAbsent(new ServiceName(demand.getService()), name -> new HashMap<>())
                        .put(new WorkspaceId(demand.getWorkspace()), new Demand(demand.getAsked(), demand.getSent()));
            }
        }
        return demands;
    }

    /** Returns the loads by server. */
    static Map<ServerName, ServerLoad> loads(Beacon beacon) {
        Map<ServerName, ServerLoad> loads = new HashMap<>();
        for (BeaconLoad load : beacon.getLoadsList()) {
            if (!load.getServer().isEmpty()) {
                loads.put(
                        new ServerName(load.getServer()),
                        new ServerLoad(
                                load.getRequests(),
                                load.getUnreadTokens(),
                                load.getHeldTokens(),
                                load.getOverdueTokens()));
            }
        }
        return loads;
    }

    /** Creates the entry of a server, with the tokens sent and the time to a first event since the previous one. */
    static BeaconLoad.Builder load(
            ServerName server, ServerLoad load, long newTokens, Optional<FirstEventObservation> observed) {
        BeaconLoad.Builder entry = BeaconLoad.newBuilder()
                .setServer(server.value())
                .setRequests(load.requests())
                .setUnreadTokens(load.unreadTokens())
                .setHeldTokens(load.heldTokens())
                .setOverdueTokens(load.overdueTokens())
                .setNewTokens(newTokens);
        observed.ifPresent(observation -> entry.setObservedMillis(
                        (int) Math.max(1, observation.latency().toMillis()))
                .setObservedWaitingTokens(observation.waitingTokens())
                .setObservedTokens(observation.prefillTokens()));
        return entry;
    }
}
