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
final class LoadPolling {

    private final Blackboard blackboard;
    private final ServerControlClient calls;
    private final OwnerRouter owner;
    private final Set<ServerName> polling = ConcurrentHashMap.newKeySet();

    LoadPolling(Blackboard blackboard, ServerControlClient calls, OwnerRouter owner) {
        this.blackboard = blackboard;
        this.calls = calls;
        this.owner = owner;
    }

    /** Reads the load of each owned server, unless the former read has not ended. */
    void poll() {
        for (OwnedServer server : blackboard.read(OwnedServers.TOPIC).servers()) {
            if (polling.add(server.name())) {
                calls.readLoad(server.address(), report -> {
                    polling.remove(server.name());
                    report.ifPresent(load -> owner.recordLoadReport(server.service(), server.name(), load));
                });
            }
        }
    }
}
