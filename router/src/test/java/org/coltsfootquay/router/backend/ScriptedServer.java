package org.coltsfootquay.router.backend;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Socket server that reads sequential requests on each connection and lets a script write the responses. */
public final class ScriptedServer implements Closeable {

    /** Writes the response to one request. */
    public interface Script {
        void respond(String head, OutputStream output, Socket socket) throws Exception;
    }

    public final List<String> requestHeads = new CopyOnWriteArrayList<>();
    public final AtomicInteger connections = new AtomicInteger();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final Script script;
    private final boolean answeringEarly;

    public ScriptedServer(Script script) throws IOException {
        this(script, false);
    }

    private ScriptedServer(Script script, boolean answeringEarly) throws IOException {
        this.answeringEarly = answeringEarly;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.script = script;
        Thread thread = new Thread(this::accept, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts a server whose script runs before the body of the request is read. */
    public static ScriptedServer answeringEarly(Script script) throws IOException {
        return new ScriptedServer(script, true);
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** Closes the server and all connections, as the end of its process does. */
    public void crash() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    public static byte[] response(int status, String body) {
        return ("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.getBytes(StandardCharsets.UTF_8).length
                        + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    public static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                connections.incrementAndGet();
                sockets.add(socket);
                Thread thread = new Thread(() -> serve(socket), "scripted-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    int next = input.read();
                    if (next < 0) {
                        return;
                    }
                    head.append((char) next);
                }
                int at = head.toString().toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
                if (at >= 0 && !answeringEarly) {
                    int end = head.indexOf("\r\n", at);
                    input.readNBytes(Integer.parseInt(head.substring(at + 16, end)));
                }
                requestHeads.add(head.toString());
                script.respond(head.toString(), socket.getOutputStream(), socket);
            }
        } catch (Exception e) {
            // The client closed the connection or the script failed; tests check the result at the client.
            return;
        }
    }
}
