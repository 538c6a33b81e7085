package org.coltsfootquay.router.neighbor;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.coltsfootquay.protocol.generated.peer.TableCopy;
import org.coltsfootquay.router.state.TableMirror;
import org.coltsfootquay.router.state.TableRow;
import org.coltsfootquay.router.state.TableSnapshot;
import org.junit.jupiter.api.Test;

/** Guards against a router that encodes a table anew for each of its peers. */
final class RowEncoderTest {

    private static final byte[] VALUE = "value".getBytes(StandardCharsets.UTF_8);

    private final TableMirror mirror = new TableMirror();
    private final RowEncoder encoder = new RowEncoder();

    @Test
    void rowsAreEncoded() throws Exception {
        merge(new TableRow("a", VALUE, 5, false), new TableRow("b", new byte[0], 6, true));
        TableCopy copy = TableCopy.parseFrom(encoder.encode(mirror.snapshot().rows()));
        assertEquals(
                List.of("a@5 false", "b@6 true"),
                copy.getRowsList().stream()
                        .map(row -> row.getKey() + "@" + row.getRevision() + " " + row.getDeleted())
                        .toList());
        assertArrayEquals(VALUE, copy.getRows(0).getValue().toByteArray());
    }

    @Test
    void unchangedTableIsEncodedOnce() {
        merge(new TableRow("a", VALUE, 5, false));
        byte[] first = encoder.encode(mirror.snapshot().rows());
        assertSame(first, encoder.encode(mirror.snapshot().rows()));
    }

    @Test
    void changedTableIsEncodedAgain() throws Exception {
        merge(new TableRow("a", VALUE, 5, false));
        encoder.encode(mirror.snapshot().rows());
        merge(new TableRow("a", VALUE, 6, false));
        TableCopy copy = TableCopy.parseFrom(encoder.encode(mirror.snapshot().rows()));
        assertEquals(6, copy.getRows(0).getRevision());
    }

    /** A read removes rows without a change of the table's revision. */
    @Test
    void tableIsEncodedAgainWhenAReadLacksARow() throws Exception {
        merge(new TableRow("a", VALUE, 5, false), new TableRow("b", VALUE, 4, false));
        encoder.encode(mirror.snapshot().rows());
        mirror.replace(List.of(new TableRow("a", VALUE, 5, false)), 9);
        TableCopy copy = TableCopy.parseFrom(encoder.encode(mirror.snapshot().rows()));
        assertEquals(1, copy.getRowsCount());
    }

    private void merge(TableRow... rows) {
        mirror.merge(new TableSnapshot(List.of(rows), 1, 1));
    }
}
