package org.coltsfootquay.decision.common;

/**
 * Name of a class of work.
 *
 * @param value identifier, never blank
 */
public record RequestClassName(String value) implements Comparable<RequestClassName> {

    /**
     * Checks the identifier.
     *
     * @throws IllegalArgumentException if the identifier is null or blank
     */
    public RequestClassName {
        ArgumentUtils.requireText(value, "class of work");
    }

    @Override
    public int compareTo(RequestClassName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
