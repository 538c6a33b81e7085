package org.coltsfootquay.router.node;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.decision.peer.RouterUse;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.state.TableRow;

/** Converts the identity and addresses of routers to and from beacons and rows of the store. */
final class PeerRouterCodec {

    private static final EventLog LOG = EventLog.of(PeerRouterCodec.class);

    /** Maximum length of the names of routers and zones; the store accepts no longer key. */
    private static final int MAX_NAME_LENGTH = 200;

    private PeerRouterCodec() {}

    /** Creates a beacon builder with the identity and addresses of a router. */
    static Beacon.Builder convert(PeerRouter router) {
        return Beacon.newBuilder()
                .setRouter(router.id().value())
                .setZone(router.zone().value())
                .setHost(router.host())
                .setPeerPort(router.peerPort())
                .setCallerAddress(router.callerAddress());
    }

    /** Reads the sender of a beacon; returns empty if its identity or addresses are invalid. */
    static Optional<PeerRouter> convert(Beacon beacon) {
        try {
            if (beacon.getRouter().length() > MAX_NAME_LENGTH
                    || beacon.getZone().length() > MAX_NAME_LENGTH) {
                throw new IllegalArgumentException("a name has more than " + MAX_NAME_LENGTH + " characters");
            }
            ChannelUtils.parseIpAddress(beacon.getHost() + ":" + beacon.getPeerPort());
            ChannelUtils.parseIpAddress(beacon.getCallerAddress());
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

    /** Decodes a row of the table of routers; returns empty if it is invalid. */
    static Optional<PeerRouter> decodeRow(TableRow row) {
        try {
            return convert(Beacon.parseFrom(row.value()));
        } catch (InvalidProtocolBufferException e) {
            LOG.warn("router_row_unreadable", "key", row.key(), "reason", e.getMessage());
            return Optional.empty();
        }
    }

    /** Reads the use of its resources that the sender of a beacon states. */
    static RouterUse use(Beacon beacon) {
        return new RouterUse(beacon.getUsedPermille(), beacon.getRequestRate());
    }
}
