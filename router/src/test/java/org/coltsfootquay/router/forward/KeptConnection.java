package org.coltsfootquay.router.forward;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Supplier;

/** Caller that sends one request after the other and uses a connection until the router closes it. */
final class KeptConnection implements AutoCloseable {

    /** Time after which a read checks whether the router has ended. */
    private static final int READ_MILLIS = 250;

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

    private final Supplier<ForwardingFixture> router;
    private ForwardingFixture connected;
    private Socket socket;
    private InputStream input;

    KeptConnection(Supplier<ForwardingFixture> router) {
        this.router = router;
    }

    /**
     * Response as far as it was received.
     *
     * @param status status, 0 without a complete head
     * @param body body without chunk headers
     * @param complete false if the connection closed before the end that the head announces
     */
    record Response(int status, String body, boolean complete) {}

    /** Sends a request and reads its response. */
    Response call(String method, String path, String id, String parts) throws IOException {
        if (socket == null) {
            try {
                connected = router.get();
                socket = connected.connect();
                socket.setSoTimeout(READ_MILLIS);
            } catch (SocketException e) {
                // The router has ended, and nothing was sent.
                return new Response(0, "", false);
            }
            input = new BufferedInputStream(socket.getInputStream());
        }
        StringBuilder head = new StringBuilder();
        StringBuilder body = new StringBuilder();
        try {
            socket.getOutputStream()
                    .write((method + " " + path + " HTTP/1.1\r\nHost: host\r\nX-Key: good\r\nX-Parts: " + parts
                                    + "\r\nX-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append(readByte());
            }
            readBody(head.toString().toLowerCase(Locale.ROOT), body);
        } catch (IOException e) {
            close();
            return new Response(status(head), body.toString(), false);
        }
        if (head.toString().toLowerCase(Locale.ROOT).contains("connection: close")) {
            close();
        }
        return new Response(status(head), body.toString(), true);
    }

    @Override
    public void close() throws IOException {
        if (socket != null) {
            socket.close();
            socket = null;
        }
    }

    private void readBody(String head, StringBuilder body) throws IOException {
        if (!head.contains("transfer-encoding: chunked")) {
            int at = head.indexOf("content-length: ") + "content-length: ".length();
            read(Integer.parseInt(head.substring(at, head.indexOf("\r\n", at))), body);
            return;
        }
        while (true) {
            StringBuilder line = new StringBuilder();
            while (line.indexOf("\r\n") < 0) {
                line.append(readByte());
            }
            int size = Integer.parseInt(line.toString().strip(), 16);
            read(size, body);
            read(2, new StringBuilder());
            if (size == 0) {
                return;
            }
        }
    }

    private void read(int count, StringBuilder target) throws IOException {
        for (int i = 0; i < count; i++) {
            target.append(readByte());
        }
    }

    private char readByte() throws IOException {
        int next = read();
        if (next < 0) {
            throw new IOException("connection closed");
        }
        return (char) next;
    }

    /** Reads a byte; connections that wait in the accept queue when the router ends may stay open without any. */
    private int read() throws IOException {
        long endNanos = System.nanoTime() + READ_TIMEOUT.toNanos();
        while (true) {
            boolean ended = connected.closed();
            try {
                return input.read();
            } catch (SocketTimeoutException e) {
                if (ended || System.nanoTime() - endNanos >= 0) {
                    throw e;
                }
            }
        }
    }

    private static int status(StringBuilder head) {
        return head.indexOf("\r\n\r\n") < 0 ? 0 : Integer.parseInt(head.substring(9, 12));
    }
}
