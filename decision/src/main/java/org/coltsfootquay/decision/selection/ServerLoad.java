package org.coltsfootquay.decision.selection;

/**
 * Work that is in progress at a server.
 *
 * @param requests requests that were sent and are not finished
 * @param unreadTokens prompt tokens of requests that have not produced their first event
 * @param heldTokens tokens that running requests hold in the server's memory
 */
public record ServerLoad(int requests, long unreadTokens, long heldTokens) {

    /** No work. */
    public static final ServerLoad NONE = new ServerLoad(0, 0, 0);

    /**
     * Adds other work.
     *
     * @param other other work
     * @return the sum
     */
    public ServerLoad plus(ServerLoad other) {
        return new ServerLoad(
                requests + other.requests, unreadTokens + other.unreadTokens, heldTokens + other.heldTokens);
    }

    /**
     * Returns the change that takes this work off a sum.
     *
     * @return work with the opposite sign
     */
    public ServerLoad negated() {
        return new ServerLoad(-requests, -unreadTokens, -heldTokens);
    }
}
