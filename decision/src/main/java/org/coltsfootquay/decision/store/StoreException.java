package org.coltsfootquay.decision.store;

import org.coltsfootquay.decision.common.ArgumentUtils;

/** Failure of a call to the platform; the message states the remedy. */
public final class StoreException extends Exception {

    /** Kinds of failure. */
    public enum Kind {
        /** The platform could not be reached or did not respond in time. */
        UNREACHABLE,
        /** The platform rejected the call because of its rate limit. */
        THROTTLED,
        /** The object or row does not exist. */
        NOT_FOUND,
        /** The platform's response could not be parsed. */
        MALFORMED
    }

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind kind of failure
     * @param message message that states the remedy
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
