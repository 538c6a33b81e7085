package org.coltsfootquay.decision.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Port to the transactional table service.
 *
 * <p>Calls return at once. Callbacks run on the thread that drives the decision library, each exactly once and within
 * the client's timeout. The client does not repeat a write whose outcome is unknown.
 */
public interface TableStore {

    /**
     * Applies all changes or none.
     *
     * @param writes changes to different rows, at least one
     * @param callback receives one result for each change, in order; all have the same outcome
     */
    void writeAtomically(List<RowWrite> writes, Consumer<List<WriteResult>> callback);

    /**
     * Applies each change on its own in one call.
     *
     * @param writes changes, at least one
     * @param callback receives one result for each change, in order
     */
    void writeIndependently(List<RowWrite> writes, Consumer<List<WriteResult>> callback);

    /**
     * Reads one row, also when it has expired.
     *
     * @param key key of the row
     * @param callback receives the row, empty when it does not exist, or the failure
     */
    void read(String key, Consumer<Either<StoreException, Optional<Row>>> callback);

    /**
     * Reads the rows that changed after a revision; extensions of the expiry are not changes.
     *
     * @param prefixes prefixes of keys
     * @param sinceRevision revision; 0 reads all rows
     * @param callback receives the changes or the failure
     */
    void changes(List<String> prefixes, long sinceRevision, Consumer<Either<StoreException, RowChanges>> callback);
}
