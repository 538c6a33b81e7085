package org.coltsfootquay.cli;

/** Signals that a command failed; the process exits with code 1. */
public final class CommandException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message message that names the remedy
     */
    public CommandException(String message) {
        super(message);
    }

    /**
     * Creates the exception.
     *
     * @param message message that names the remedy
     * @param cause cause
     */
    public CommandException(String message, Throwable cause) {
        super(message, cause);
    }
}
