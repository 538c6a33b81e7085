package org.coltsfootquay.decision.common;

/**
 * Identifier of a workspace.
 *
 * @param value identifier, never blank
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

    /**
     * Checks the identifier.
     *
     * @throws IllegalArgumentException if the identifier is null or blank
     */
    public WorkspaceId {
        ArgumentUtils.requireText(value, "workspace id");
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
