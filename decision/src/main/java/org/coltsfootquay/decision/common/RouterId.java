package org.coltsfootquay.decision.common;

/**
 * Identifier of a router process.
 *
 * @param value identifier, never blank
 */
public record RouterId(String value) implements Comparable<RouterId> {

    /**
     * Checks the identifier.
     *
     * @throws IllegalArgumentException if the identifier is null or blank
     */
    public RouterId {
        ArgumentUtils.requireText(value, "router id");
    }

    @Override
    public int compareTo(RouterId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
