package org.coltsfootquay.decision.common;

/**
 * Name of a region.
 *
 * @param value identifier, never blank
 */
public record RegionName(String value) implements Comparable<RegionName> {

    /**
     * Checks the identifier.
     *
     * @throws IllegalArgumentException if the identifier is null or blank
     */
    public RegionName {
        ArgumentUtils.requireText(value, "region name");
    }

    @Override
    public int compareTo(RegionName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
