package org.coltsfootquay.decision.configuration;

import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Workspace: a tenant of the fleet.
 *
 * @param id identifier
 * @param keyDigests SHA-256 digests of its bearer keys, in lower-case hexadecimal; several during a key change
 * @param reservedUnitsPerSecond bought rate of service by service; absent services have no reservation
 */
public record Workspace(WorkspaceId id, List<String> keyDigests, Map<ServiceName, Long> reservedUnitsPerSecond) {

    /** Copies the collections. */
    public Workspace {
        keyDigests = List.copyOf(keyDigests);
        reservedUnitsPerSecond = Map.copyOf(reservedUnitsPerSecond);
    }

    /**
     * Returns the bought rate of a service.
     *
     * @param service service
     * @return units a second; 0 without a reservation
     */
    public long reserved(ServiceName service) {
        return reservedUnitsPerSecond.getOrDefault(service, 0L);
    }

    @Override
    public String toString() {
        return "Workspace[" + id + "]";
    }
}
