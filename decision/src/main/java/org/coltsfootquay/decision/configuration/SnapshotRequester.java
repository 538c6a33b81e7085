package org.coltsfootquay.decision.configuration;

/** Port that requests configuration objects from peers while the object store is unreachable. */
@FunctionalInterface
public interface SnapshotRequester {

    /** Requester that does nothing. */
    SnapshotRequester NONE = (version, object) -> {};

    /**
     * Requests the object from a peer that reported the version; the response is passed to
     * {@link ConfigurationController#snapshotReceived}.
     *
     * @param version version
     * @param object name of the object
     */
    void request(long version, String object);
}
