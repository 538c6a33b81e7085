package org.coltsfootquay.router.backend;

import java.time.Duration;
import java.util.Map;

/**
 * Request to a backend server.
 *
 * @param address address of the server as {@code host:port}
 * @param method HTTP method
 * @param path path and query
 * @param headers headers other than {@code Host} and {@code Content-Length}
 * @param body body, empty for none; it is not copied and must not be modified
 * @param connectTimeout time limit for establishing a connection
 * @param readTimeout maximum time without a received byte of the response while reading is not paused
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

    /** Creates a request with a copy of the headers. */
    public BackendRequest {
        headers = Map.copyOf(headers);
    }

    @Override
    public String toString() {
        return "BackendRequest[" + method + " " + address + "]";
    }
}
