package org.coltsfootquay.decision.store;

import org.coltsfootquay.decision.common.ArgumentUtils;

/** Failure of a call to the platform; the message names the remedy. */
public final class StoreException extends Exception {

    /** Kinds of failure. */
    public enum Kind {
        /** The platform could not be reached or did not answer in time. */
        UNREACHABLE,
        /** The platform refused because of its rate limit. */
        THROTTLED,
        /** The object or row does not exist. */
        NOT_FOUND,
        /** The platform's answer could not be understood. */
        MALFORMED
    }

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /**
     * Creates a failure.
     *
     * @param kind kind of failure
     * @param message message that names the remedy
     */
    public StoreException(Kind kind, String message) {
        super(message);
        this.kind = ArgumentUtils.requireValue(kind, "kind");
    }

    /**
     * Returns the kind of failure.
     *
     * @return kind
     */
    public Kind kind() {
        return kind;
    }
}
