package org.coltsfootquay.router.daemon;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.configuration.ConfigurationController;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.SnapshotRequester;
import org.coltsfootquay.protocol.generated.ConfigurationNotice;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.peer.PeerLimits;
import org.coltsfootquay.router.peer.PeerNetwork;

/** Tells peers about configuration versions and exchanges snapshots with them; used on the control thread only. */
final class ConfigurationExchange implements SnapshotRequester {

    private static final EventLog LOG = EventLog.of(ConfigurationExchange.class);

    /** Room for the other fields of a frame with a snapshot. */
    private static final int FRAME_OVERHEAD_BYTES = 256;

    private final PeerNetwork network;
    private ConfigurationController controller;
    private RouterId lastNotifier;

    ConfigurationExchange(PeerNetwork network) {
        this.network = network;
    }

    void setController(ConfigurationController newController) {
        this.controller = newController;
    }

    /** Tells all connected peers about a version that came into force. */
    void announce(FleetConfiguration configuration) {
        if (configuration.version() > 0) {
            network.sendToConnected(noticeFrame(configuration.version(), controller.objectInForce()));
        }
    }

    void receive(RouterId from, ConfigurationNotice notice) {
        if (notice.getRequestSnapshot()) {
            sendSnapshot(from, notice);
        } else if (!notice.getSnapshot().isEmpty()) {
            controller.snapshotReceived(notice.getSnapshot().toByteArray());
        } else if (!notice.getObject().isEmpty()) {
            lastNotifier = from;
            controller.versionAnnounced(notice.getVersion(), notice.getObject());
        }
    }

    @Override
    public void request(long version, String object) {
        if (lastNotifier != null) {
            network.send(
                    lastNotifier,
                    Frame.newBuilder()
                            .setConfigurationNotice(ConfigurationNotice.newBuilder()
                                    .setVersion(version)
                                    .setObject(object)
                                    .setRequestSnapshot(true))
                            .build());
        }
    }

    private void sendSnapshot(RouterId from, ConfigurationNotice notice) {
        Optional<byte[]> content = controller.snapshotFor(notice.getObject());
        if (content.isEmpty()) {
            return;
        }
        if (content.get().length > PeerLimits.MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES) {
            LOG.warn("snapshot_too_large", "peer", from, "bytes", content.get().length);
            return;
        }
        network.send(
                from,
                Frame.newBuilder()
                        .setConfigurationNotice(ConfigurationNotice.newBuilder()
                                .setVersion(notice.getVersion())
                                .setObject(notice.getObject())
                                .setSnapshot(ByteString.copyFrom(content.get())))
                        .build());
    }

    private static Frame noticeFrame(long version, String object) {
        return Frame.newBuilder()
                .setConfigurationNotice(
                        ConfigurationNotice.newBuilder().setVersion(version).setObject(object))
                .build();
    }
}
