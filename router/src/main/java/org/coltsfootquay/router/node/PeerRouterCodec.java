package org.coltsfootquay.router.node;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.state.TableRow;

/** Address cards of routers as rows of the store and in beacons. */
final class PeerRouterCodec {

    private static final EventLog LOG = EventLog.of(PeerRouterCodec.class);

    private PeerRouterCodec() {}

    /** Starts a beacon with a router's card. */
    static Beacon.Builder convert(PeerRouter router) {
        return Beacon.newBuilder()
                .setRouter(router.id().value())
                .setZone(router.zone().value())
                .setHost(router.host())
                .setPeerPort(router.peerPort())
                .setCallerAddress(router.callerAddress());
    }

    /** Reads the card of a beacon. */
    static Optional<PeerRouter> convert(Beacon beacon) {
        try {
            return Optional.of(new PeerRouter(
                    new RouterId(beacon.getRouter()),
                    new ZoneName(beacon.getZone()),
                    beacon.getHost(),
                    beacon.getPeerPort(),
                    beacon.getCallerAddress()));
        } catch (IllegalArgumentException e) {
            LOG.warn("router_card_unreadable", "reason", e.getMessage());
            return Optional.empty();
        }
    }

    /** Reads a row. */
    static Optional<PeerRouter> decodeRow(TableRow row) {
        try {
            return convert(Beacon.parseFrom(row.value()));
        } catch (InvalidProtocolBufferException e) {
            LOG.warn("router_row_unreadable", "key", row.key(), "reason", e.getMessage());
            return Optional.empty();
        }
    }
}
