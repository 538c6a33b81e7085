package org.coltsfootquay.decision.timeline;

import java.util.Locale;

/** Kinds of decisions that are recorded in the timeline. */
public enum EventKind {
    /** The entry router accepted a request from a caller. */
    REQUEST_ADMITTED,
    /** An owner put a request into its queue. */
    REQUEST_QUEUED,
    /** The entry router selected an owner for the request. */
    REQUEST_FORWARDED,
    /** An owner granted the start of a request on a server. */
    REQUEST_GRANTED,
    /** The entry router began to send the request to the server. */
    REQUEST_DISPATCHED,
    /** The first token or byte of the response went to the caller. */
    REQUEST_FIRST_OUTPUT,
    /** An owner redirected a waiting request to another owner. */
    REQUEST_REDIRECTED,
    /** A stream was cancelled on a server in favor of reserved capacity. */
    REQUEST_PREEMPTED,
    /** The caller disconnected and the request was cancelled. */
    REQUEST_CANCELLED,
    /** A broken or preempted stream continued on a server. */
    REQUEST_RESUMED,
    /** A request was sent again after a failure. */
    REQUEST_RETRIED,
    /** The request was rejected. */
    REQUEST_REFUSED,
    /** The whole response went to the caller. */
    REQUEST_COMPLETED,
    /** The request ended with an error after it was dispatched. */
    REQUEST_FAILED,
    /** The record of a non-idempotent request was created. */
    RECORD_CREATED,
    /** The record of a non-idempotent request was completed. */
    RECORD_COMPLETED,
    /** The router acquired its membership lease. */
    LEASE_TAKEN,
    /** The router's membership lease expired. */
    LEASE_LOST,
    /** The router claimed a backend server. */
    SERVER_CLAIMED,
    /** The router released a backend server. */
    SERVER_RELEASED,
    /** The concurrency limit of a server changed. */
    LIMIT_CHANGED,
    /** A server was found cold and its ramp started. */
    RAMP_STARTED,
    /** The ramp of a server ended. */
    RAMP_ENDED,
    /** A zone began to leave service. */
    ZONE_LEAVING,
    /** A zone returned to service. */
    ZONE_RETURNED,
    /** A backend server began to leave service. */
    SERVER_LEAVING,
    /** A configuration version became active. */
    CONFIGURATION_IN_FORCE,
    /** A configuration version could not be read and was not activated. */
    CONFIGURATION_REJECTED,
    /** A router became ready. */
    ROUTER_READY,
    /** A router began its planned shutdown. */
    ROUTER_STOPPING,
    /** A router completed its planned shutdown. */
    ROUTER_STOPPED,
    /** The store became unreachable. */
    STORE_LOST,
    /** The store became reachable again. */
    STORE_REACHED,
    /** A violation of a guarantee was detected. */
    INVARIANT_VIOLATED;

    /**
     * Returns the name that is used in logs and exports.
     *
     * @return lower-case name with underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
