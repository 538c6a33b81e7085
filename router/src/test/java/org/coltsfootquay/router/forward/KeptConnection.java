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

/** Caller that sends one request after the other and uses a connection until it or the router closes it. */
final class KeptConnection implements AutoCloseable {

    /** Time after which a read checks whether the router has ended. */
    private static final int READ_MILLIS = 250;

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

    private final Supplier<ForwardingFixture> router;
    private ForwardingFixture connected;
    private Socket socket;
    private InputStream input;
    private boolean surplus;

    KeptConnection(Supplier<ForwardingFixture> router) {
        this.router = router;
    }

    /**
     * Response as far as it was received.
     *
     * @param status status, 0 without a complete head
     * @param body body without chunk headers
     * @param id header X-Id, empty without it
     * @param seal header X-Seal, empty without it
     * @param complete false if the connection closed before the end that the head announces
     */
    record Response(int status, String id, String seal, String body, boolean complete) {}

    /** Returns whether bytes came after the responses received so far, and forgets them. */
    boolean takeSurplus() throws IOException {
        boolean found = surplus || (socket != null && input.available() > 0);
        surplus = false;
        if (found) {
            close();
        }
        return found;
    }

    /** Sends a request on a new connection that ends with its response. */
    Response callOnce(String method, String path, String id, String parts) throws IOException {
        close();
        return call(method, path, id, parts, "Connection: close\r\n");
    }

    /** Sends a request and reads its response. */
    Response call(String method, String path, String id, String parts) throws IOException {
        return call(method, path, id, parts, "");
    }

    private Response call(String method, String path, String id, String parts, String headerLines) throws IOException {
        if (socket == null) {
            try {
                connected = router.get();
                socket = connected.connect();
                socket.setSoTimeout(READ_MILLIS);
            } catch (SocketException e) {
                // The router has ended, and nothing was sent.
                return new Response(0, "", "", "", false);
            }
            input = new BufferedInputStream(socket.getInputStream());
        }
        StringBuilder head = new StringBuilder();
        StringBuilder body = new StringBuilder();
        try {
            socket.getOutputStream()
                    .write((method + " " + path + " HTTP/1.1\r\nHost: host\r\nX-Key: good\r\nX-Parts: " + parts
                                    + "\r\nX-Id: " + id + "\r\n" + headerLines + "Content-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append(readByte());
            }
            readBody(head.toString().toLowerCase(Locale.ROOT), body);
        } catch (IOException e) {
            close();
            return response(head, body, false);
        }
        if (head.toString().toLowerCase(Locale.ROOT).contains("connection: close")) {
            surplus = !endsHere();
            close();
        }
        return response(head, body, true);
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

    private boolean endsHere() {
        try {
            return read() < 0;
        } catch (IOException e) {
            return true;
        }
    }

    private static Response response(StringBuilder head, StringBuilder body, boolean complete) {
        return new Response(status(head), header(head, "x-id"), header(head, "x-seal"), body.toString(), complete);
    }

    private static String header(StringBuilder head, String name) {
        for (String line : head.toString().split("\r\n", -1)) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name + ": ")) {
                return line.substring(name.length() + 2);
            }
        }
        return "";
    }

    private static int status(StringBuilder head) {
        return head.indexOf("\r\n\r\n") < 0 ? 0 : Integer.parseInt(head.substring(9, 12));
    }
}
