package org.coltsfootquay.decision.common;

/** Checks of arguments that fail fast. */
public final class ArgumentUtils {

    private ArgumentUtils() {}

    /**
     * Requires a text that is not blank.
     *
     * @param value text to check
     * @param name name of the argument, used in the message
     * @return the text
     * @throws IllegalArgumentException if the text is null or blank
     */
    public static String requireText(String value, String name) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(name + " must not be null or blank; pass a non-empty text");
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
}
