package org.coltsfootquay.decision.configuration;

/** Port that asks peers for a configuration object when the object store is out of reach. */
@FunctionalInterface
public interface SnapshotRequester {

    /** Requester that asks nobody. */
    SnapshotRequester NONE = (version, object) -> {};

    /**
     * Asks a peer that reported the version for the object; the answer arrives at
     * {@link ConfigurationController#snapshotReceived}.
     *
     * @param version version
     * @param object name of the object
     */
    void request(long version, String object);
}
