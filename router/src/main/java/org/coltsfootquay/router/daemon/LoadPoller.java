package org.coltsfootquay.router.daemon;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.ownership.OwnedServer;
import org.coltsfootquay.decision.ownership.OwnedServers;
import org.coltsfootquay.router.backend.ServerControlClient;
import org.coltsfootquay.router.owner.OwnerRouter;

/** Reads the load of owned servers; its timer runs on the control thread. */
final class LoadPoller {

    private final Blackboard blackboard;
    private final ServerControlClient serverCalls;
    private final OwnerRouter ownerRouter;
    private final Set<ServerName> inProgress = ConcurrentHashMap.newKeySet();

    LoadPoller(Blackboard blackboard, ServerControlClient calls, OwnerRouter owner) {
        this.blackboard = blackboard;
        this.serverCalls = calls;
        this.ownerRouter = owner;
    }

    /** Reads the load of each owned server, unless the former read has not ended. */
    void poll() {
        for (OwnedServer server : blackboard.read(OwnedServers.TOPIC).servers()) {
            if (inProgress.add(server.name())) {
                serverCalls.readLoad(server.address(), report -> {
                    inProgress.remove(server.name());
                    report.ifPresent(load -> ownerRouter.recordLoadReport(server.service(), server.name(), load));
                });
            }
        }
    }
}
