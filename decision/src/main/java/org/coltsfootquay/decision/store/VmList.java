package org.coltsfootquay.decision.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;

/** Port to the platform's lagging VM list; calls and callbacks follow the same rules as in {@link TableStore}. */
@FunctionalInterface
public interface VmList {

    /**
     * Reads the list.
     *
     * @param callback receives the entries or the failure
     */
    void read(Consumer<Either<StoreException, List<VmEntry>>> callback);
}
