package org.coltsfootquay.decision.backend;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Entry under which a backend server registers itself in the store.
 *
 * @param server identifier
 * @param service service it belongs to
 * @param host IP address
 * @param port TCP port
 * @param zone availability zone
 * @param slots maximum number of requests that it runs concurrently
 * @param leaving true if it accepts no new work and is about to stop
 * @param remainingColdTime remaining time for which it is cold, as of the time it wrote this entry
 * @param startedMillis start time of the server by its own clock, Unix milliseconds; 0 if unknown
 * @param version version of its software; empty if unknown
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
        long startedMillis,
        String version) {

    /**
     * Creates the entry of a server whose version is unknown.
     *
     * @param server identifier
     * @param service service it belongs to
     * @param host IP address
     * @param port TCP port
     * @param zone availability zone
     * @param slots maximum number of requests that it runs concurrently
     * @param leaving true if it accepts no new work and is about to stop
     * @param remainingColdTime remaining time for which it is cold
     * @param startedMillis start time of the server, Unix milliseconds; 0 if unknown
     */
    public BackendEntry(
            ServerName server,
            ServiceName service,
            String host,
            int port,
            ZoneName zone,
            int slots,
            boolean leaving,
            Duration remainingColdTime,
            long startedMillis) {
        this(server, service, host, port, zone, slots, leaving, remainingColdTime, startedMillis, "");
    }

    /**
     * Returns this entry with another start time.
     *
     * @param millis start time of the server by its own clock, Unix milliseconds; 0 if unknown
     * @return entry
     */
    public BackendEntry startedAt(long millis) {
        return new BackendEntry(server, service, host, port, zone, slots, leaving, remainingColdTime, millis, version);
    }

    /**
     * Returns whether an entry names the same incarnation of a server at the same address.
     *
     * @param other entry
     * @return true if a request for one may be sent to the other
     */
    public boolean isSameIncarnation(BackendEntry other) {
        return server.equals(other.server)
                && startedMillis == other.startedMillis
                && host.equals(other.host)
                && port == other.port;
    }

    /** Validates the values. */
    public BackendEntry {
        ArgumentUtils.requireValue(server, "server");
        ArgumentUtils.requireValue(service, "service");
        ArgumentUtils.requireText(host, "host");
        ArgumentUtils.requirePort(port, "port");
        ArgumentUtils.requirePositive(slots, "slots");
        ArgumentUtils.requireValue(version, "version");
    }
}
