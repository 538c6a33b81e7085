package org.coltsfootquay.decision.store;

import io.vavr.control.Either;
import java.util.function.Consumer;

/** Port to the object store; calls and callbacks follow the same rules as in {@link TableStore}. */
public interface ObjectStore {

    /**
     * Writes an object. The name of an object is derived from its content, so objects never change.
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
