package org.coltsfootquay.decision.backend;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Registration of a backend server.
 *
 * @param server identifier
 * @param service service it belongs to
 * @param host IP address
 * @param port TCP port
 * @param zone availability zone
 * @param slots requests that it runs at once
 * @param leaving true if it takes no new work and stops soon
 * @param remainingColdTime time for which it was still cold when it wrote this entry
 * @param startedMillis start of the server on its own clock, Unix milliseconds; 0 if unknown
 */
public record BackendEntry(
        ServerName server,
        ServiceName service,
        String host,
        int port,
        ZoneName zone,
        int slots,
        boolean leaving,
        Duration remainingColdTime,
        long startedMillis) {

    /** Checks the values. */
    public BackendEntry {
        ArgumentUtils.requireValue(server, "server");
        ArgumentUtils.requireValue(service, "service");
        ArgumentUtils.requireText(host, "host");
        ArgumentUtils.requirePositive(port, "port");
        ArgumentUtils.requirePositive(slots, "slots");
    }
}
