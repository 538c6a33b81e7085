package org.coltsfootquay.router.daemon;

import java.util.Locale;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.configuration.ConfigurationTopic;
import org.coltsfootquay.decision.invariant.Guarantee;
import org.coltsfootquay.decision.invariant.InvariantMonitor;
import org.coltsfootquay.decision.ownership.OwnedServers;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.router.metrics.RouterMetrics;
import org.coltsfootquay.router.peer.PeerNetwork;

/** Gauges of the control side of a router: configuration, ownership, guarantees and traffic. */
final class RouterGauges {

    private RouterGauges() {}

    static void register(
            RouterMetrics metrics,
            Blackboard blackboard,
            InvariantMonitor monitor,
            PeerNetwork network,
            PlatformPorts platform) {
        metrics.gauge("peer_connections", network::connectionCount);
        metrics.gauge(
                "configuration_version",
                () -> blackboard.read(ConfigurationTopic.IN_FORCE).version());
        metrics.gauge(
                "owned_servers",
                () -> blackboard.read(OwnedServers.TOPIC).servers().size());
        metrics.gauge("platform_sent_bytes", () -> platform.traffic().sentBytes());
        metrics.gauge("platform_received_bytes", () -> platform.traffic().receivedBytes());
        for (Guarantee guarantee : Guarantee.values()) {
            metrics.gauge("invariant_violations{guarantee=\"" + guarantee + "\"}", () -> monitor.count(guarantee));
        }
        for (Frame.BodyCase kind : Frame.BodyCase.values()) {
            String label = "{kind=\"" + kind.name().toLowerCase(Locale.ROOT) + "\"}";
            var traffic = network.counters().byMessageType().get(kind);
            metrics.gauge("peer_sent_bytes" + label, () -> traffic.sentBytes().sum());
            metrics.gauge(
                    "peer_received_bytes" + label, () -> traffic.receivedBytes().sum());
            metrics.gauge("peer_sent_frames" + label, () -> traffic.sentFrames().sum());
        }
    }
}
