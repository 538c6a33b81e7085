package org.coltsfootquay.decision.configuration;

import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Workspace: a tenant of the fleet.
 *
 * @param id identifier
 * @param keyDigests SHA-256 digests of its bearer keys in lower-case hexadecimal; more than one during key rotation
 * @param reservedUnitsPerSecond reserved rate by service; services without a reservation are absent
 */
public record Workspace(WorkspaceId id, List<String> keyDigests, Map<ServiceName, Long> reservedUnitsPerSecond) {

    /** Copies the collections. */
    public Workspace {
        keyDigests = List.copyOf(keyDigests);
        reservedUnitsPerSecond = Map.copyOf(reservedUnitsPerSecond);
    }

    /**
     * Returns the reserved rate of a service.
     *
     * @param service service
     * @return units per second, or 0 without a reservation
     */
    public long reserved(ServiceName service) {
        return reservedUnitsPerSecond.getOrDefault(service, 0L);
    }

    @Override
    public String toString() {
        return "Workspace[" + id + "]";
    }
}
