package org.coltsfootquay.decision.common;

/**
 * Name of an availability zone.
 *
 * @param value identifier, never blank
 */
public record ZoneName(String value) implements Comparable<ZoneName> {

    /**
     * Checks the identifier.
     *
     * @throws IllegalArgumentException if the identifier is null or blank
     */
    public ZoneName {
        ArgumentUtils.requireText(value, "zone name");
    }

    @Override
    public int compareTo(ZoneName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
