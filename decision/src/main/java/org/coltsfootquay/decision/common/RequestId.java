package org.coltsfootquay.decision.common;

/**
 * Identifier of a caller's request; all attempts of the request share it.
 *
 * @param value identifier, never blank
 */
public record RequestId(String value) implements Comparable<RequestId> {

    /**
     * Checks the identifier.
     *
     * @throws IllegalArgumentException if the identifier is null or blank
     */
    public RequestId {
        ArgumentUtils.requireText(value, "request id");
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
