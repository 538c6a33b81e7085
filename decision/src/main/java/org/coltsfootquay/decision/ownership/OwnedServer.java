package org.coltsfootquay.decision.ownership;

import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.configuration.ServiceKind;

/**
 * Backend server that this router owns and may give work to.
 *
 * @param name name of the server
 * @param service service it executes
 * @param kind kind of the service
 * @param address IP address and port
 * @param fencingNumber fencing number of the ownership
 * @param share part of the server's limit that this router may use, greater than 0 and at most 1
 * @param admitsWork whether new work is allowed: neither server nor zone is leaving and the ownership is valid
 * @param checksFencing whether the server refuses old fencing numbers
 * @param stateUnknown whether the ownership began without knowledge of the server's state, so that its ramp starts again
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
