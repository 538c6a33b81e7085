package org.coltsfootquay.router.forward;

import java.util.Optional;

/** Decides whether the router has room for another request or connection of a caller; used on the event loop. */
public interface CallerAdmission {

    /** Accepts all requests and connections. */
    CallerAdmission UNLIMITED = new CallerAdmission() {
        @Override
        public Optional<String> rejectionReason() {
            return Optional.empty();
        }

        @Override
        public int maxConnections() {
            return Integer.MAX_VALUE;
        }
    };

    /**
     * Decides on a new request.
     *
     * @return reason for rejecting the request as not run; empty if it is accepted
     */
    Optional<String> rejectionReason();

    /**
     * Returns the number of open connections above which idle ones are closed and new ones are rejected.
     *
     * @return number
     */
    int maxConnections();
}
