package org.coltsfootquay.decision.ownership;

import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.configuration.ServiceKind;

/**
 * Backend server that this router owns and may dispatch work to.
 *
 * @param name name of the server
 * @param service service that it runs
 * @param kind kind of the service
 * @param address IP address and port
 * @param fencingNumber fencing number of the ownership
 * @param share fraction of the server's limit that this router may use, greater than 0 and at most 1
 * @param admitsWork whether new work is allowed: neither the server nor its zone is leaving and the ownership is valid
 * @param checksFencing whether the server rejects outdated fencing numbers
 * @param stateUnknown whether the ownership began without knowledge of the server's state; its ramp then starts again
 */
public record OwnedServer(
        ServerName name,
        ServiceName service,
        ServiceKind kind,
        String address,
        long fencingNumber,
        double share,
        boolean admitsWork,
        boolean checksFencing,
        boolean stateUnknown) {}
