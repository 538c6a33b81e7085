package org.coltsfootquay.router.backend;

import java.time.Duration;
import java.util.Map;

/**
 * Request to a backend server.
 *
 * @param address {@code host:port} of the server
 * @param method HTTP method
 * @param path path with query
 * @param headers headers without {@code Host} and {@code Content-Length}
 * @param body body, empty for none; not copied, must not be changed
 * @param connectTimeout time within which a connection must be made
 * @param readTimeout longest time without a byte of the answer while the caller reads
 */
@SuppressWarnings("ArrayRecordComponent") // requests are never compared
public record BackendRequest(
        String address,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        Duration connectTimeout,
        Duration readTimeout) {

    /** Copies the headers. */
    public BackendRequest {
        headers = Map.copyOf(headers);
    }

    @Override
    public String toString() {
        return "BackendRequest[" + method + " " + address + "]";
    }
}
