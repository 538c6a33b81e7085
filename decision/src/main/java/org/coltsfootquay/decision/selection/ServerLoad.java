package org.coltsfootquay.decision.selection;

/**
 * Work in progress at a server.
 *
 * @param requests requests in flight
 * @param unreadTokens prompt tokens still to be prefilled, for requests without a first event
 * @param heldTokens tokens that running requests occupy in the server's memory, without shared prompt parts
 * @param overdueTokens the unread tokens of requests whose first event should have arrived by now
 */
public record ServerLoad(int requests, long unreadTokens, long heldTokens, long overdueTokens) {

    /** No work. */
    public static final ServerLoad NONE = new ServerLoad(0, 0, 0);

    /**
     * Creates work of which nothing is overdue.
     *
     * @param requests requests in flight
     * @param unreadTokens prompt tokens still to be prefilled
     * @param heldTokens tokens that running requests occupy in the server's memory
     */
    public ServerLoad(int requests, long unreadTokens, long heldTokens) {
        this(requests, unreadTokens, heldTokens, 0);
    }

    /**
     * Returns the work of one request.
     *
     * <p>Shared prompt parts are in memory once for all requests that use them, so they are not counted as held.
     *
     * @param prompt prompt
     * @param unreadTokens prompt tokens that the server has to prefill
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
                requests + other.requests,
                unreadTokens + other.unreadTokens,
                heldTokens + other.heldTokens,
                overdueTokens + other.overdueTokens);
    }

    /**
     * Returns the change that subtracts this work from a sum.
     *
     * @return work with the opposite sign
     */
    public ServerLoad negated() {
        return new ServerLoad(-requests, -unreadTokens, -heldTokens, -overdueTokens);
    }
}
