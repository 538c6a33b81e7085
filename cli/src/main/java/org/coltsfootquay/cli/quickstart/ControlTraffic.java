package org.coltsfootquay.cli.quickstart;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Bytes of control traffic, sent and received, summed over routers.
 *
 * @param controlBytes membership, ownership, configuration, totals and probes, with the calls to the platform
 * @param requestBytes messages between routers that belong to single requests
 */
record ControlTraffic(long controlBytes, long requestBytes) {

    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Set<String> REQUEST_KINDS = Set.of(
            "enqueue",
            "queued",
            "grant",
            "refuse",
            "redirect",
            "withdraw",
            "progress",
            "finished",
            "preempt",
            "started",
            "record_batch",
            "record_batch_reply");

    /** Adds up the counters in the metrics of routers. */
    static ControlTraffic of(List<String> metricsOfRouters) {
        long control = 0;
        long request = 0;
        try {
            for (String metrics : metricsOfRouters) {
                JsonNode root = MAPPER.readTree(metrics);
                for (Map.Entry<String, JsonNode> metric : root.path("gauges").properties()) {
                    String name = metric.getKey();
                    long value = metric.getValue().asLong();
                    if (name.startsWith("platform_sent_bytes") || name.startsWith("platform_received_bytes")) {
                        control += value;
                    } else if (name.startsWith("peer_sent_bytes") || name.startsWith("peer_received_bytes")) {
                        boolean ofRequest = REQUEST_KINDS.stream().anyMatch(kind -> name.contains("\"" + kind + "\""));
                        control += ofRequest ? 0 : value;
                        request += ofRequest ? value : 0;
                    }
                }
            }
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("metrics are not JSON; see /metrics.json of a router", e);
        }
        return new ControlTraffic(control, request);
    }
}
