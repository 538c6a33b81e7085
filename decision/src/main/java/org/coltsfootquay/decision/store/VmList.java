package org.coltsfootquay.decision.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;

/** Port to the platform's lagging list of VMs; the same rules for calls and callbacks as in {@link TableStore} hold. */
@FunctionalInterface
public interface VmList {

    /**
     * Reads the list.
     *
     * @param callback receives the entries or the failure
     */
    void read(Consumer<Either<StoreException, List<VmEntry>>> callback);
}
