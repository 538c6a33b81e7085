package org.coltsfootquay.decision.dispatch;

import java.util.Locale;

/** Reasons for which an owner refuses a request; none of them was started on a server. */
public enum RefusalCode {
    /** The queue of the workspace is full at this owner. */
    WORKSPACE_QUEUE_FULL,
    /** The request would wait or has waited longer than the patience of its class. */
    PATIENCE_EXCEEDED,
    /** This router owns no server of the service that admits work. */
    NOT_OWNER,
    /** The router is stopping and takes no new work into its queue. */
    STOPPING;

    /**
     * Returns the name as it stands in messages.
     *
     * @return lower-case name with underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
