package org.coltsfootquay.standin.http;

/** Handles the requests that reach a {@link StandInServer}. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Handles one request; called on the event loop of the server.
     *
     * @param exchange request and the means to answer it, at once or later
     */
    void handle(Exchange exchange);
}
