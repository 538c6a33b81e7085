import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A backend server that registers in the store and serves one request at a time on a connection. */
final class Engine {

    /** Handles one request; its head is read, its body is not. */
    interface Handler {
        /** Returns false to close the connection. */
        boolean handle(HttpMessage request, InputStream in, OutputStream out, Socket connection) throws IOException;
    }

    final String id;
    private final String service;
    private final StoreStandIn store;
    private final ServerSocket socket;
    private final Handler handler;
    private final long born = System.currentTimeMillis();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private long sequence;

    Engine(String id, String service, String host, StoreStandIn store, int receiveBuffer, Handler handler)
            throws IOException {
        this.id = id;
        this.service = service;
        this.store = store;
        this.handler = handler;
        socket = new ServerSocket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.bind(new java.net.InetSocketAddress(InetAddress.getByName(host), 0), 256);
        Threads.start(id, this::accept);
        register("ready");
    }

    long register(String state) {
        return store.put(
                "servers",
                id,
                "{\"Service\":\"" + service + "\",\"Address\":\""
                        + socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort()
                        + "\",\"zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":64,\"State\":\"" + state
                        + "\",\"ColdMs\":0,\"Sequence\":" + ++sequence + ",\"born\":" + born + "}");
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = socket.accept();
            connection.setTcpNoDelay(true);
            connections.add(connection);
            Threads.start(id + " connection", () -> serve(connection));
        }
    }

    private void serve(Socket connection) throws IOException {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream(), 4096);
            OutputStream out = connection.getOutputStream();
            HttpMessage request = HttpMessage.readHead(in);
            while (request != null && handler.handle(request, in, out, connection)) {
                request = HttpMessage.readHead(in);
            }
        } finally {
            connections.remove(connection);
        }
    }

    /** Returns the head of a response with the headers that every server sends. */
    static String head(int status, HttpMessage request, String framing) {
        return "HTTP/1.1 " + status + " X\r\nColtsfootquay-Request-Id: " + request.header("Coltsfootquay-Request-Id")
                + "\r\nColtsfootquay-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + framing + "\r\n";
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
