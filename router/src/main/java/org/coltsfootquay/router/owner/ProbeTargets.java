package org.coltsfootquay.router.owner;

import java.util.List;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;

/** Source of the other owners of a service that may be probed. */
public interface ProbeTargets {

    /**
     * Returns the owners with the longest queues according to the latest totals.
     *
     * @param service service
     * @return owners, excluding this router
     */
    List<RouterId> ownersWithQueue(ServiceName service);

    /**
     * Returns the owners with free slots and an empty queue according to the latest totals.
     *
     * @param service service
     * @return owners, excluding this router
     */
    List<RouterId> ownersWithFreeSlots(ServiceName service);

    /**
     * Returns all owners of a service.
     *
     * @param service service
     * @return owners, excluding this router
     */
    List<RouterId> allOwners(ServiceName service);
}
