package org.coltsfootquay.decision.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.Workspace;

/** Queues of all workspaces that an owner has seen, with their reserved rates. */
final class WorkspaceQueues {

    private final ServiceName service;
    private final Comparator<WaitingRequest> order;
    private final Map<WorkspaceId, WorkspaceQueue> queues = new HashMap<>();
    private FleetConfiguration configuration = FleetConfiguration.none();

    WorkspaceQueues(ServiceName service, Comparator<WaitingRequest> order) {
        this.service = service;
        this.order = order;
    }

    WorkspaceQueue get(WorkspaceId workspace) {
        return queues.computeIfAbsent(workspace, id -> {
            WorkspaceQueue queue = new WorkspaceQueue(id, order);
            queue.reservedPerSecond = reserved(id);
            return queue;
        });
    }

    /** Takes over the reserved rates of a configuration and returns all queues. */
    Collection<WorkspaceQueue> updateReservedRates(FleetConfiguration changed) {
        configuration = changed;
        queues.values().forEach(queue -> queue.reservedPerSecond = reserved(queue.workspace));
        return queues.values();
    }

    private long reserved(WorkspaceId id) {
        Workspace workspace = configuration.workspaces().get(id);
        return workspace == null ? 0 : workspace.reserved(service);
    }
}
