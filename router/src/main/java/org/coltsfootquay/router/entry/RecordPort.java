package org.coltsfootquay.router.entry;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.WriteResult;

/** Access to the records of non-idempotent requests; callbacks come on any thread. */
public interface RecordPort {

    /**
     * Writes a record.
     *
     * @param write conditional write
     * @param callback receives the result once; may never be called when a batching router dies
     */
    void write(RowWrite write, Consumer<WriteResult> callback);

    /**
     * Reads a record.
     *
     * @param key key of the row
     * @param callback receives the row or the failure once
     */
    void read(String key, Consumer<Either<StoreException, Optional<Row>>> callback);
}
