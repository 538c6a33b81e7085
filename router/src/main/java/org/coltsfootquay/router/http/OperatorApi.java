package org.coltsfootquay.router.http;

import java.util.OptionalLong;

/** Commands of operators behind the front end; calls come on event loops and must not block. */
public interface OperatorApi {

    /**
     * Reads the configuration in force.
     *
     * @param reply receives it as JSON
     */
    void readConfiguration(OperatorReply reply);

    /**
     * Replaces the configuration.
     *
     * @param expectedVersion version that the operator changed, from {@code If-Match}
     * @param json new configuration
     * @param reply receives the new version or the conflict
     */
    void replaceConfiguration(OptionalLong expectedVersion, byte[] json, OperatorReply reply);

    /**
     * Reads the versions of the configuration.
     *
     * @param reply receives them as JSON
     */
    void readHistory(OperatorReply reply);

    /**
     * Takes a zone out of service or puts it back.
     *
     * @param zone name of the zone
     * @param leave true to take it out of service
     * @param reply receives the new version
     */
    void changeZone(String zone, boolean leave, OperatorReply reply);

    /**
     * Takes a backend server out of service or puts it back.
     *
     * @param server name of the server
     * @param leave true to take it out of service
     * @param reply receives the new version
     */
    void changeServer(String server, boolean leave, OperatorReply reply);
}
