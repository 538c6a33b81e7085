package org.coltsfootquay.decision.timeline;

import java.util.Locale;

/** Kinds of decisions that are recorded on the time line. */
public enum EventKind {
    /** The entry router accepted a request from a caller. */
    REQUEST_ADMITTED,
    /** An owner put a request into its queue. */
    REQUEST_QUEUED,
    /** The entry router chose an owner for the request. */
    REQUEST_FORWARDED,
    /** An owner granted the start of a request on a server. */
    REQUEST_GRANTED,
    /** The entry router began to send the request to the server. */
    REQUEST_DISPATCHED,
    /** The first token or byte of the answer went to the caller. */
    REQUEST_FIRST_OUTPUT,
    /** An owner redirected a waiting request to another owner. */
    REQUEST_REDIRECTED,
    /** A stream was cancelled on a server in favour of reserved capacity. */
    REQUEST_PREEMPTED,
    /** The caller went away and the request was cancelled. */
    REQUEST_CANCELLED,
    /** A broken or preempted stream continued on a server. */
    REQUEST_RESUMED,
    /** A request was sent again after a failure. */
    REQUEST_RETRIED,
    /** The request was refused. */
    REQUEST_REFUSED,
    /** The whole answer went to the caller. */
    REQUEST_COMPLETED,
    /** The request ended with an error after it was dispatched. */
    REQUEST_FAILED,
    /** The record of a non-idempotent request was created. */
    RECORD_CREATED,
    /** The record of a non-idempotent request was completed. */
    RECORD_COMPLETED,
    /** The router took its membership lease. */
    LEASE_TAKEN,
    /** The router's membership lease lapsed. */
    LEASE_LOST,
    /** The router claimed a backend server. */
    SERVER_CLAIMED,
    /** The router gave a backend server up. */
    SERVER_RELEASED,
    /** The concurrency limit of a server changed. */
    LIMIT_CHANGED,
    /** A server was found cold and its ramp started. */
    RAMP_STARTED,
    /** The ramp of a server ended. */
    RAMP_ENDED,
    /** A zone began to leave. */
    ZONE_LEAVING,
    /** A zone returned. */
    ZONE_RETURNED,
    /** A backend server began to leave. */
    SERVER_LEAVING,
    /** A configuration version came into force. */
    CONFIGURATION_IN_FORCE,
    /** A configuration version could not be read and did not come into force. */
    CONFIGURATION_REJECTED,
    /** A router became ready. */
    ROUTER_READY,
    /** A router began its planned stop. */
    ROUTER_STOPPING,
    /** A router ended its planned stop. */
    ROUTER_STOPPED,
    /** The store could not be reached. */
    STORE_LOST,
    /** The store could be reached again. */
    STORE_REACHED,
    /** A guarantee was found violated. */
    INVARIANT_VIOLATED;

    /**
     * Returns the name as it stands in logs and exports.
     *
     * @return lower-case name with underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
