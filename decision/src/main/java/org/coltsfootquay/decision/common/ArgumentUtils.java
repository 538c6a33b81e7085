package org.coltsfootquay.decision.common;

/** Argument checks that throw {@link IllegalArgumentException}. */
public final class ArgumentUtils {

    private static final int MAX_PORT = 65535;

    private ArgumentUtils() {}

    /**
     * Requires a string that is neither null nor blank.
     *
     * @param value string to check
     * @param name name of the argument, used in the message
     * @return the string
     * @throws IllegalArgumentException if the string is null or blank
     */
    public static String requireText(String value, String name) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(name + " must not be null or blank");
        }
        return value;
    }

    /**
     * Requires a reference that is not null.
     *
     * @param value reference to check
     * @param name name of the argument, used in the message
     * @param <T> type of the reference
     * @return the reference
     * @throws IllegalArgumentException if the reference is null
     */
    public static <T> T requireValue(T value, String name) {
        if (value == null) {
            throw new IllegalArgumentException(name + " must not be null");
        }
        return value;
    }

    /**
     * Requires a number that is not negative.
     *
     * @param value number to check
     * @param name name of the argument, used in the message
     * @return the number
     * @throws IllegalArgumentException if the number is negative
     */
    public static long requireNonNegative(long value, String name) {
        if (value < 0) {
            throw new IllegalArgumentException(name + " must not be negative but is " + value);
        }
        return value;
    }

    /**
     * Requires a number greater than zero.
     *
     * @param value number to check
     * @param name name of the argument, used in the message
     * @return the number
     * @throws IllegalArgumentException if the number is zero or negative
     */
    public static long requirePositive(long value, String name) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be greater than zero but is " + value);
        }
        return value;
    }

    /**
     * Requires a TCP or UDP port.
     *
     * @param value port
     * @param name name of the argument, for the error message
     * @return the port
     * @throws IllegalArgumentException if the port is not between 1 and 65535
     */
    public static int requirePort(int value, String name) {
        if (value < 1 || value > MAX_PORT) {
            throw new IllegalArgumentException(name + " must be between 1 and " + MAX_PORT + " but is " + value);
        }
        return value;
    }
}
