package org.coltsfootquay.decision.selection;

import java.util.List;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ServiceName;

/** Decides which versions of the servers of a service may get requests; not thread-safe. */
public interface VersionPolicy {

    /** Policy that permits all versions. */
    VersionPolicy ALL = new VersionPolicy() {
        @Override
        public List<List<BackendEntry>> groups(ServiceName service, List<BackendEntry> eligible, long nowNanos) {
            return List.of(eligible);
        }

        @Override
        public boolean trySend(BackendEntry entry, long nowNanos) {
            return true;
        }
    };

    /**
     * Returns the servers that may get a request, in groups in order of preference.
     *
     * @param service service
     * @param eligible servers that may get the request whatever their version
     * @param nowNanos current time
     * @return groups; a later one is used only if no server of an earlier one may get the request
     */
    List<List<BackendEntry>> groups(ServiceName service, List<BackendEntry> eligible, long nowNanos);

    /**
     * Counts a request that is about to be sent to a server.
     *
     * @param entry server
     * @param nowNanos current time
     * @return false if the version of the server must not get the request
     */
    boolean trySend(BackendEntry entry, long nowNanos);
}
