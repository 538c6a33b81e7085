package org.coltsfootquay.decision.common;

/**
 * Name of a class of work.
 *
 * @param value identifier, never blank
 */
public record ClassOfWorkName(String value) implements Comparable<ClassOfWorkName> {

    /**
     * Checks the identifier.
     *
     * @throws IllegalArgumentException if the identifier is null or blank
     */
    public ClassOfWorkName {
        ArgumentUtils.requireText(value, "class of work");
    }

    @Override
    public int compareTo(ClassOfWorkName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
