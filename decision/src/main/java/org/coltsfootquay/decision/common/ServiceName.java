package org.coltsfootquay.decision.common;

/**
 * Name of a service, for example a model.
 *
 * @param value identifier, never blank
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    /**
     * Checks the identifier.
     *
     * @throws IllegalArgumentException if the identifier is null or blank
     */
    public ServiceName {
        ArgumentUtils.requireText(value, "service name");
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
