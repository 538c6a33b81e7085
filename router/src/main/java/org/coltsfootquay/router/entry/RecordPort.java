package org.coltsfootquay.router.entry;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.WriteResult;

/** Access to the idempotency records of non-idempotent requests; callbacks may run on any thread. */
public interface RecordPort {

    /**
     * Writes a record.
     *
     * @param write conditional write
     * @param callback receives the result once, or never if the router that batches the write fails
     */
    void write(RowWrite write, Consumer<WriteResult> callback);

    /**
     * Reads a record.
     *
     * @param key key of the row
     * @param callback receives the row, or the reason for the failure, once
     */
    void read(String key, Consumer<Either<StoreException, Optional<Row>>> callback);
}
