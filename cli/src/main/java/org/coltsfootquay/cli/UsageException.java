package org.coltsfootquay.cli;

/** Signals wrong options, arguments or settings; the process exits with code 2. */
public final class UsageException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message message that names the remedy
     */
    public UsageException(String message) {
        super(message);
    }
}
