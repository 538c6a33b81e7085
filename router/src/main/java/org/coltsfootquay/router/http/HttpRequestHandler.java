package org.coltsfootquay.router.http;

/** Handler of requests; called on the event loop of the connection, must not block. */
@FunctionalInterface
public interface HttpRequestHandler {

    /**
     * Handles a request; must end it sooner or later, on any thread.
     *
     * @param exchange request and its answer
     */
    void handle(HttpExchange exchange);
}
