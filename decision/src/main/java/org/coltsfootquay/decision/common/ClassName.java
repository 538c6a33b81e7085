package org.coltsfootquay.decision.common;

/**
 * Name of a class of work.
 *
 * @param value identifier, never blank
 */
public record ClassName(String value) implements Comparable<ClassName> {

    /**
     * Checks the identifier.
     *
     * @throws IllegalArgumentException if the identifier is null or blank
     */
    public ClassName {
        ArgumentUtils.requireText(value, "class of work");
    }

    @Override
    public int compareTo(ClassName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
