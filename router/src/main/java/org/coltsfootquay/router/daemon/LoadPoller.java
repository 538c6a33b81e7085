package org.coltsfootquay.router.daemon;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.ownership.OwnedServer;
import org.coltsfootquay.decision.ownership.OwnedServers;
import org.coltsfootquay.router.backend.ServerControlClient;
import org.coltsfootquay.router.owner.OwnerRouter;

/** Polls the load of the owned servers; the timer runs on the control thread. */
final class LoadPoller {

    private final Blackboard blackboard;
    private final ServerControlClient serverControlClient;
    private final OwnerRouter ownerRouter;
    private final Set<ServerName> inProgress = ConcurrentHashMap.newKeySet();

    LoadPoller(Blackboard blackboard, ServerControlClient serverControlClient, OwnerRouter ownerRouter) {
        this.blackboard = blackboard;
        this.serverControlClient = serverControlClient;
        this.ownerRouter = ownerRouter;
    }

    /** Reads the load of each owned server, except where the previous read is still in progress. */
    void poll() {
        for (OwnedServer server : blackboard.read(OwnedServers.TOPIC).servers()) {
            if (inProgress.add(server.name())) {
                serverControlClient.readLoad(server.address(), report -> {
                    inProgress.remove(server.name());
                    report.ifPresent(load -> ownerRouter.recordLoadReport(server.service(), server.name(), load));
                });
            }
        }
    }
}
