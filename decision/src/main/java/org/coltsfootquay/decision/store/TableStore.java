package org.coltsfootquay.decision.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Port to the transactional table service.
 *
 * <p>Calls return immediately. Each callback is invoked exactly once, within the client's timeout, on the thread that
 * drives the decision library. The client does not retry a write whose outcome is unknown.
 */
public interface TableStore {

    /**
     * Applies all writes or none.
     *
     * @param writes writes to different rows, at least one
     * @param callback receives one result for each write, in order; all have the same outcome
     */
    void writeAtomically(List<RowWrite> writes, Consumer<List<WriteResult>> callback);

    /**
     * Applies each write independently, in one call.
     *
     * @param writes writes, at least one
     * @param callback receives one result for each write, in order
     */
    void writeIndependently(List<RowWrite> writes, Consumer<List<WriteResult>> callback);

    /**
     * Reads one row, even if it has expired.
     *
     * @param key key of the row
     * @param callback receives the row, or empty if it does not exist, or the failure
     */
    void read(String key, Consumer<Either<StoreException, Optional<Row>>> callback);

    /**
     * Reads the rows that changed after a revision; an extended time to live is not a change.
     *
     * @param prefixes key prefixes
     * @param sinceRevision revision; 0 reads all rows
     * @param callback receives the changes or the failure
     */
    void changes(List<String> prefixes, long sinceRevision, Consumer<Either<StoreException, RowChanges>> callback);
}
