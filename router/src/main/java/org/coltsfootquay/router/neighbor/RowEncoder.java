package org.coltsfootquay.router.neighbor;

import com.google.protobuf.UnsafeByteOperations;
import java.util.Collection;
import org.coltsfootquay.protocol.generated.peer.TableCopy;
import org.coltsfootquay.protocol.generated.peer.TableCopyRow;
import org.coltsfootquay.router.state.TableRow;

/**
 * Encoder for the rows of one table, which many routers request at the same moment; used on one event loop.
 *
 * <p>The last result is kept, as long as its rows are.
 */
final class RowEncoder {

    private Collection<TableRow> lastRows;
    private byte[] lastResult;

    /** Creates an encoder. */
    RowEncoder() {
        // The first call encodes its rows.
    }

    /**
     * Encodes rows.
     *
     * @param rows rows; a later call with the same object returns the same result
     * @return encoding of a {@link TableCopy} that has the rows only; must not be modified
     */
    byte[] encode(Collection<TableRow> rows) {
        if (rows != lastRows) {
            TableCopy.Builder copy = TableCopy.newBuilder();
            for (TableRow row : rows) {
                copy.addRows(TableCopyRow.newBuilder()
                        .setKey(row.key())
                        .setRevision(row.revision())
                        .setDeleted(row.deleted())
                        .setValue(UnsafeByteOperations.unsafeWrap(row.value())));
            }
            lastResult = copy.build().toByteArray();
            lastRows = rows;
        }
        return lastResult;
    }
}
