package org.coltsfootquay.router.owner;

import java.util.List;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;

/** Other owners of a service that may be probed. */
public interface ProbeTargets {

    /**
     * Returns the owners with the longest queues, as far as the totals say.
     *
     * @param service service
     * @return owners without this router
     */
    List<RouterId> ownersWithQueue(ServiceName service);

    /**
     * Returns the owners with free slots and no queue, as far as the totals say.
     *
     * @param service service
     * @return owners without this router
     */
    List<RouterId> ownersWithFreeSlots(ServiceName service);

    /**
     * Returns all owners.
     *
     * @param service service
     * @return owners without this router
     */
    List<RouterId> allOwners(ServiceName service);
}
