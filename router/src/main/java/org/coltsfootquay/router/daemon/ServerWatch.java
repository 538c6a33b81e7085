package org.coltsfootquay.router.daemon;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.ownership.OwnedServer;
import org.coltsfootquay.decision.ownership.OwnedServers;
import org.coltsfootquay.decision.ownership.OwnerMap;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.protocol.generated.Probe;
import org.coltsfootquay.router.backend.ServerCalls;
import org.coltsfootquay.router.entry.OwnerPort;
import org.coltsfootquay.router.owner.OwnerRouter;

/** Reads the load of owned servers and probes other owners; its timers run on the control thread. */
final class ServerWatch {

    private final RouterId self;
    private final Blackboard blackboard;
    private final ServerCalls calls;
    private final OwnerRouter owner;
    private final OwnerPort peers;
    private final RandomGenerator random;
    private final Set<ServerName> polling = ConcurrentHashMap.newKeySet();

    ServerWatch(
            RouterId self,
            Blackboard blackboard,
            ServerCalls calls,
            OwnerRouter owner,
            OwnerPort peers,
            RandomGenerator random) {
        this.self = self;
        this.blackboard = blackboard;
        this.calls = calls;
        this.owner = owner;
        this.peers = peers;
        this.random = random;
    }

    /** Reads the load of each owned server, unless the former read has not ended. */
    void pollLoads() {
        for (OwnedServer server : blackboard.read(OwnedServers.TOPIC).servers()) {
            if (polling.add(server.name())) {
                calls.load(server.address(), report -> {
                    polling.remove(server.name());
                    report.ifPresent(load -> owner.loadReported(server.service(), server.name(), load));
                });
            }
        }
    }

    /** Probes one other owner for each service that has free slots and no queue, or a queue and no free slot. */
    void probe() {
        owner.loads(loads -> loads.forEach(this::probe));
    }

    private void probe(ServiceName service, ServiceTotals.OwnerLoad load) {
        boolean idle = load.freeSlots() > 0 && load.queueLength() == 0;
        boolean full = load.freeSlots() == 0 && load.queueLength() > 0;
        if (idle || full) {
            target(service, idle)
                    .ifPresent(router -> peers.send(
                            router,
                            Frame.newBuilder()
                                    .setProbe(Probe.newBuilder()
                                            .setService(service.value())
                                            .setFreeSlots(load.freeSlots())
                                            .setQueueLength(load.queueLength())
                                            .setOldestWaitMillis(load.oldestWaitMillis()))
                                    .build()));
        }
    }

    private Optional<RouterId> target(ServiceName service, boolean idle) {
        Map<ServiceName, List<ServiceTotals.OwnerLoad>> known =
                blackboard.read(ServiceTotals.TOPIC).loads();
        List<RouterId> listed = known.getOrDefault(service, List.of()).stream()
                .filter(load -> idle ? load.queueLength() > 0 : load.freeSlots() > 0 && load.queueLength() == 0)
                .map(ServiceTotals.OwnerLoad::router)
                .filter(router -> !router.equals(self))
                .toList();
        List<RouterId> candidates = listed.isEmpty() ? others(service) : listed;
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    private List<RouterId> others(ServiceName service) {
        return blackboard.read(OwnerMap.TOPIC).ownersByService().getOrDefault(service, List.of()).stream()
                .filter(router -> !router.equals(self))
                .toList();
    }
}
