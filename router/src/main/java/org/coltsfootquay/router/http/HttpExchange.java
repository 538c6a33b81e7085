package org.coltsfootquay.router.http;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Optional;

/** Request of a caller or operator and its answer. Methods that answer may be called from any thread. */
public interface HttpExchange {

    /**
     * Returns the method.
     *
     * @return method in upper case
     */
    String method();

    /**
     * Returns the path without the query.
     *
     * @return path, percent-encoded as it arrived
     */
    String path();

    /**
     * Returns the path with the query.
     *
     * @return target of the request line
     */
    String target();

    /**
     * Returns the first value of a query parameter.
     *
     * @param name name
     * @return value, decoded
     */
    Optional<String> parameter(String name);

    /**
     * Returns the first value of a header.
     *
     * @param name name, in any case
     * @return value
     */
    Optional<String> header(String name);

    /**
     * Returns all headers.
     *
     * @return headers with names in lower case; values of a repeated name are joined by commas
     */
    Map<String, String> headers();

    /**
     * Returns the body.
     *
     * @return bytes, not copied, must not be changed
     */
    byte[] body();

    /**
     * Returns the event loop of the connection.
     *
     * @return event loop
     */
    EventLoop eventLoop();

    /**
     * Answers whole. Has no effect when the answer has begun.
     *
     * @param status HTTP status
     * @param headers headers without {@code Content-Length}
     * @param body body
     */
    void respond(int status, Map<String, String> headers, byte[] body);

    /**
     * Begins an answer whose length is not known.
     *
     * @param status HTTP status
     * @param headers headers
     */
    void start(int status, Map<String, String> headers);

    /**
     * Writes a part of an answer that was begun.
     *
     * @param bytes bytes, owned by the connection from now on
     */
    void write(byte[] bytes);

    /** Ends an answer that was begun, as complete. */
    void end();

    /** Closes the connection so that an answer that was begun is seen to be incomplete. */
    void abort();

    /** Closes the connection and runs the task of {@link #onDisconnect}, because the caller does not read. */
    void disconnect();

    /**
     * Tells whether the connection takes more parts without building up a backlog.
     *
     * @return false while the caller reads more slowly than parts are written
     */
    boolean isWritable();

    /**
     * Sets what to run on the event loop each time the connection becomes writable again.
     *
     * @param task task
     */
    void onWritable(Runnable task);

    /**
     * Sets what to run on the event loop when the connection closes before the answer has ended.
     *
     * @param task task
     */
    void onDisconnect(Runnable task);
}
