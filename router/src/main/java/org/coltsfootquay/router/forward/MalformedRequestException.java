package org.coltsfootquay.router.forward;

/** The headers of a request cannot be used; the message names the remedy. */
public final class MalformedRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param message what is wrong and what the caller should send instead
     */
    public MalformedRequestException(String message) {
        super(message);
    }
}
