package org.coltsfootquay.router.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.waiting.WaitingQueue;
import org.coltsfootquay.decision.waiting.WaitingSum;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.protocol.generated.peer.BeaconQueue;
import org.coltsfootquay.router.forward.WaitingRequests;

/** Converts what waits at routers to and from beacons. */
final class QueueCodec {

    /** Maximum number of entries that are read; a router has a queue for each service and few priorities. */
    private static final int MAX_ENTRIES = 256;

    private QueueCodec() {}

    /** Adds what waits at this router; a service for which nothing waits any more has an entry without requests. */
    static void add(Beacon.Builder beacon, WaitingRequests waiting) {
        waiting.sums().forEach((service, sums) -> {
            if (sums.isEmpty()) {
                beacon.addQueues(BeaconQueue.newBuilder().setService(service.value()));
            }
            sums.forEach((priority, sum) -> beacon.addQueues(entry(service, priority, sum)));
        });
    }

    private static BeaconQueue.Builder entry(ServiceName service, int priority, WaitingSum sum) {
        return BeaconQueue.newBuilder()
                .setService(service.value())
                .setPriority(priority)
                .setRequests(sum.requests())
                .setTokens((long) Math.ceil(sum.tokens()));
    }

    /** Returns the weighted tokens by service, empty if the beacon does not say what waits at its sender. */
    static Optional<Map<ServiceName, Double>> read(Beacon beacon) {
        if (beacon.getQueuesCount() == 0) {
            return Optional.empty();
        }
        Map<ServiceName, Double> tokens = new HashMap<>();
        beacon.getQueuesList().stream()
                .limit(MAX_ENTRIES)
                .filter(queue -> !queue.getService().isBlank() && queue.getTokens() > 0 && queue.getPriority() >= 0)
                .forEach(queue -> tokens.merge(
                        new ServiceName(queue.getService()),
                        queue.getTokens() * WaitingQueue.priorityWeight(queue.getPriority()),
                        Double::sum));
        return Optional.of(tokens);
    }
}
