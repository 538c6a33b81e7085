package org.coltsfootquay.decision.configuration;

import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Backend server: a model engine or an application server.
 *
 * @param name name, unique in the configuration
 * @param service service it executes
 * @param zone availability zone
 * @param address IP address and port, {@code host:port}
 * @param checksFencing whether it refuses orders and requests with an old fencing number
 * @param state state given by operators
 */
public record BackendServer(
        ServerName name,
        ServiceName service,
        ZoneName zone,
        String address,
        boolean checksFencing,
        AdministrativeState state) {}
