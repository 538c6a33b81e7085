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
    private static final int OVERHEAD_BYTES = 256;

    private final PeerNetwork network;
    private ConfigurationController controller;
    private RouterId newestPeer;

    ConfigurationExchange(PeerNetwork network) {
        this.network = network;
    }

    void connect(ConfigurationController newController) {
        this.controller = newController;
    }

    /** Tells all connected peers about a version that came into force. */
    void inForce(FleetConfiguration configuration) {
        if (configuration.version() > 0) {
            network.sendToConnected(notice(configuration.version(), controller.objectInForce()));
        }
    }

    void received(RouterId from, ConfigurationNotice notice) {
        if (notice.getRequestSnapshot()) {
            answer(from, notice);
        } else if (!notice.getSnapshot().isEmpty()) {
            controller.snapshotReceived(notice.getSnapshot().toByteArray());
        } else if (!notice.getObject().isEmpty()) {
            newestPeer = from;
            controller.versionAnnounced(notice.getVersion(), notice.getObject());
        }
    }

    @Override
    public void request(long version, String object) {
        if (newestPeer != null) {
            network.send(
                    newestPeer,
                    Frame.newBuilder()
                            .setConfigurationNotice(ConfigurationNotice.newBuilder()
                                    .setVersion(version)
                                    .setObject(object)
                                    .setRequestSnapshot(true))
                            .build());
        }
    }

    private void answer(RouterId from, ConfigurationNotice notice) {
        Optional<byte[]> content = controller.snapshotFor(notice.getObject());
        if (content.isEmpty()) {
            return;
        }
        if (content.get().length > PeerLimits.MAX_FRAME_BYTES - OVERHEAD_BYTES) {
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

    private static Frame notice(long version, String object) {
        return Frame.newBuilder()
                .setConfigurationNotice(
                        ConfigurationNotice.newBuilder().setVersion(version).setObject(object))
                .build();
    }
}
