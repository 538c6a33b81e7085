package org.coltsfootquay.router.http;

/** Handler of HTTP requests. It is called on the event loop of the connection and must not block. */
@FunctionalInterface
public interface HttpRequestHandler {

    /**
     * Handles a request. The response must eventually be completed or aborted, on any thread.
     *
     * @param exchange request and its response
     */
    void handle(HttpExchange exchange);
}
