package org.coltsfootquay.router.forward;

/** Thrown if the headers of a request are invalid; the message says how to correct them. */
public final class MalformedRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is invalid and what the caller should send instead
     */
    public MalformedRequestException(String message) {
        super(message);
    }
}
