package org.coltsfootquay.decision.store;

import io.vavr.control.Either;
import java.util.function.Consumer;

/** Port to the object store; the same rules for calls and callbacks as in {@link TableStore} hold. */
public interface ObjectStore {

    /**
     * Writes an object; objects are named by their content and never change.
     *
     * @param name name of the object
     * @param content content
     * @param callback receives the outcome
     */
    void put(String name, byte[] content, Consumer<WriteOutcome> callback);

    /**
     * Reads an object.
     *
     * @param name name of the object
     * @param callback receives the content or the failure
     */
    void get(String name, Consumer<Either<StoreException, byte[]>> callback);
}
