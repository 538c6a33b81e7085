package org.coltsfootquay.decision.request;

import java.util.Optional;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Permission of an owner to send an attempt to a server.
 *
 * @param server server
 * @param address address of the server
 * @param fencingNumber fencing number to send with the request
 * @param expiryNanos time at which the grant expires
 */
record Grant(ServerName server, String address, long fencingNumber, long expiryNanos) {

    /**
     * Checks whether the grant may be used now.
     *
     * @param environment environment of the flow
     * @param nowNanos current time
     * @return error that prevents its use, or empty
     */
    Optional<ErrorCode> validate(RequestEnvironment environment, long nowNanos) {
        if (environment.isIsolated()) {
            return Optional.of(ErrorCode.ROUTER_CUT_OFF);
        }
        if (nowNanos >= expiryNanos) {
            return Optional.of(ErrorCode.GRANT_LAPSED);
        }
        return environment.configuration().admitsWork(server) ? Optional.empty() : Optional.of(ErrorCode.NO_CAPACITY);
    }
}
