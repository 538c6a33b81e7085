package org.coltsfootquay.decision.common;

/**
 * Name of a backend server.
 *
 * @param value identifier, never blank
 */
public record ServerName(String value) implements Comparable<ServerName> {

    /**
     * Checks the identifier.
     *
     * @throws IllegalArgumentException if the identifier is null or blank
     */
    public ServerName {
        ArgumentUtils.requireText(value, "server name");
    }

    @Override
    public int compareTo(ServerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
