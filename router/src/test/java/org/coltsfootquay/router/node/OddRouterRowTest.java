package org.coltsfootquay.router.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.router.state.TableRow;
import org.junit.jupiter.api.Test;

/** Guards against rows and beacons of another writer whose addresses end the beacons of this router. */
final class OddRouterRowTest {

    private static final Beacon USUAL = Beacon.newBuilder()
            .setRouter("r")
            .setZone("z")
            .setHost("10.1.1.1")
            .setPeerPort(7400)
            .setCallerAddress("10.1.1.1:8000")
            .build();

    @Test
    void usualRowIsRead() {
        assertTrue(PeerRouterCodec.decodeRow(row(USUAL)).isPresent());
    }

    @Test
    void portOutOfRangeIsRejected() {
        assertRejected(USUAL.toBuilder().setPeerPort(70_000).build());
        assertRejected(USUAL.toBuilder().setPeerPort(-1).build());
    }

    /** A name would be resolved on the event loop. */
    @Test
    void hostNameInPlaceOfAnAddressIsRejected() {
        assertRejected(USUAL.toBuilder().setHost("localhost").build());
        assertRejected(USUAL.toBuilder().setCallerAddress("localhost:80").build());
    }

    @Test
    void longNamesAreRejected() {
        assertRejected(USUAL.toBuilder().setRouter("r".repeat(65536)).build());
    }

    private static void assertRejected(Beacon beacon) {
        assertTrue(PeerRouterCodec.decodeRow(row(beacon)).isEmpty());
    }

    private static TableRow row(Beacon beacon) {
        return new TableRow("r", beacon.toByteArray(), 1, false);
    }
}
