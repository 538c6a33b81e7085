package org.coltsfootquay.decision.selection;

/**
 * Work that is in progress at a server.
 *
 * @param requests requests that were sent and are not finished
 * @param unreadTokens prompt tokens of requests that have not produced their first event
 * @param heldTokens tokens that running requests hold in the server's memory besides shared prompt parts
 */
public record ServerLoad(int requests, long unreadTokens, long heldTokens) {

    /** No work. */
    public static final ServerLoad NONE = new ServerLoad(0, 0, 0);

    /**
     * Returns the work of one request.
     *
     * <p>Shared prompt parts lie in the memory once for all requests that use them, so they do not count as held.
     *
     * @param prompt prompt
     * @param unreadTokens prompt tokens that the server has to read
     * @return work
     */
    public static ServerLoad ofRequest(Prompt prompt, long unreadTokens) {
        long held = (long) prompt.tokens() - prompt.sharedTokens() + prompt.maxOutputTokens();
        return new ServerLoad(1, unreadTokens, held);
    }

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
