package org.coltsfootquay.cli.quickstart;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Bytes that routers sent and received, summed over routers.
 *
 * @param bytesByKind bytes by kind of message; the calls to the platform have the kind {@code platform}
 */
record ControlTraffic(Map<String, Long> bytesByKind) {

    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Pattern PLATFORM = Pattern.compile("platform_(sent|received)_bytes");
    private static final Pattern PEER = Pattern.compile("peer_(?:sent|received)_bytes\\{kind=\"(\\w+)\"\\}");

    /** Kinds of messages that belong to single requests; all others are control traffic. */
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

    /** Copies the map. */
    ControlTraffic {
        bytesByKind = Map.copyOf(bytesByKind);
    }

    /** Adds up the counters in the metrics of routers. */
    static ControlTraffic of(List<String> metricsOfRouters) {
        Map<String, Long> bytes = new TreeMap<>();
        try {
            for (String metrics : metricsOfRouters) {
                for (Map.Entry<String, JsonNode> metric :
                        MAPPER.readTree(metrics).path("gauges").properties()) {
                    Matcher peer = PEER.matcher(metric.getKey());
                    if (peer.matches()) {
                        bytes.merge(peer.group(1), metric.getValue().asLong(), Long::sum);
                    } else if (PLATFORM.matcher(metric.getKey()).matches()) {
                        bytes.merge("platform", metric.getValue().asLong(), Long::sum);
                    }
                }
            }
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("metrics are not JSON; see /metrics.json of a router", e);
        }
        return new ControlTraffic(bytes);
    }

    /** Returns the traffic since an earlier reading. */
    ControlTraffic since(ControlTraffic earlier) {
        Map<String, Long> difference = new TreeMap<>();
        bytesByKind.forEach((kind, bytes) -> difference.put(kind, bytes - earlier.bytesByKind.getOrDefault(kind, 0L)));
        return new ControlTraffic(difference);
    }

    /** Returns the bytes of messages that belong to single requests. */
    long requestBytes() {
        return bytesByKind.entrySet().stream()
                .filter(entry -> REQUEST_KINDS.contains(entry.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    /** Returns the bytes of membership, ownership, configuration, totals and probes, with the calls to the platform. */
    long controlBytes() {
        return bytesByKind.values().stream().mapToLong(Long::longValue).sum() - requestBytes();
    }

    /** Returns the rate of each kind of message that was used. */
    Map<String, Double> perSecond(double seconds) {
        Map<String, Double> rates = new TreeMap<>();
        bytesByKind.forEach((kind, bytes) -> {
            if (bytes > 0) {
                rates.put(kind, Math.round(bytes / seconds * 10) / 10.0);
            }
        });
        return rates;
    }
}
