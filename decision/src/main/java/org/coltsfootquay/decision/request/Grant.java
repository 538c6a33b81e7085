package org.coltsfootquay.decision.request;

import java.util.Optional;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Permission of an owner to start an attempt on a server.
 *
 * @param server server
 * @param address address of the server
 * @param fencingNumber fencing number to send
 * @param expiryNanos time at which the permission ends
 */
record Grant(ServerName server, String address, long fencingNumber, long expiryNanos) {

    /**
     * Checks whether the permission may be used now.
     *
     * @param environment environment of the flow
     * @param nowNanos current time
     * @return reason against it, or empty
     */
    Optional<ErrorCode> validate(RequestEnvironment environment, long nowNanos) {
        if (environment.cutOff()) {
            return Optional.of(ErrorCode.ROUTER_CUT_OFF);
        }
        if (nowNanos >= expiryNanos) {
            return Optional.of(ErrorCode.GRANT_LAPSED);
        }
        return environment.configuration().admitsWork(server) ? Optional.empty() : Optional.of(ErrorCode.NO_CAPACITY);
    }
}
