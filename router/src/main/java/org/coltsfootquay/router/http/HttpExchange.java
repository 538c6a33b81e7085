package org.coltsfootquay.router.http;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Optional;

/** Request of a caller or operator and its response. Methods that send the response may be called from any thread. */
public interface HttpExchange {

    /**
     * Returns the request method.
     *
     * @return method in upper case
     */
    String method();

    /**
     * Returns the path without the query.
     *
     * @return path, percent-encoded as received
     */
    String path();

    /**
     * Returns the path with the query.
     *
     * @return request target
     */
    String target();

    /**
     * Returns the first value of a query parameter.
     *
     * @param name parameter name
     * @return decoded value; empty if the parameter is absent
     */
    Optional<String> parameter(String name);

    /**
     * Returns the first value of a header.
     *
     * @param name header name, case-insensitive
     * @return value; empty if the header is absent
     */
    Optional<String> header(String name);

    /**
     * Returns all headers.
     *
     * @return headers with names in lower case; values of a repeated name are joined by commas
     */
    Map<String, String> headers();

    /**
     * Returns the request body.
     *
     * @return bytes, which are not copied and must not be modified
     */
    byte[] body();

    /**
     * Returns the event loop of the connection.
     *
     * @return event loop
     */
    EventLoop eventLoop();

    /**
     * Sends a complete response. Has no effect if a response has started.
     *
     * @param status HTTP status
     * @param headers headers without {@code Content-Length}
     * @param body response body
     */
    void respond(int status, Map<String, String> headers, byte[] body);

    /**
     * Starts a response of unknown length. Has no effect if a response has started.
     *
     * @param status HTTP status
     * @param headers headers
     */
    void start(int status, Map<String, String> headers);

    /**
     * Writes a part of a response that was started.
     *
     * @param bytes bytes; ownership passes to the connection
     */
    void write(byte[] bytes);

    /** Completes a response that was started. */
    void end();

    /** Closes the connection, which marks a started response as incomplete. */
    void abort();

    /** Closes the connection of a caller that does not read, and runs the task of {@link #onDisconnect}. */
    void disconnect();

    /**
     * Returns whether the connection accepts more data without exceeding its write buffer limit.
     *
     * @return false while the caller reads more slowly than data is written
     */
    boolean isWritable();

    /**
     * Sets the task that runs on the event loop each time the connection becomes writable again.
     *
     * @param task task
     */
    void onWritable(Runnable task);

    /**
     * Sets the task that runs on the event loop when the connection closes before the response is complete.
     *
     * @param task task
     */
    void onDisconnect(Runnable task);
}
