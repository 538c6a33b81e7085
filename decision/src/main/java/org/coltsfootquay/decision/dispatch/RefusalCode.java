package org.coltsfootquay.decision.dispatch;

import java.util.Locale;

/** Reasons why an owner refuses a request. A refused request has not been started on a server. */
public enum RefusalCode {
    /** The queue of the workspace is full at this owner. */
    WORKSPACE_QUEUE_FULL,
    /** The expected or actual waiting time exceeds the patience of the class. */
    PATIENCE_EXCEEDED,
    /** This router owns no server of the service that accepts the request. */
    NOT_OWNER,
    /** The router is shutting down and queues no new requests. */
    STOPPING;

    /**
     * Returns the label used in messages.
     *
     * @return lower-case name with underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
