import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A backend server that registers in the store and serves one request at a time on a connection. */
final class Engine {

    /** Handles one request; its head is read, its body is not. */
    interface Handler {
        /** Returns false to close the connection. */
        boolean handle(HttpMessage request, InputStream in, OutputStream out, Socket connection) throws IOException;
    }

    private final String id;
    private final ServerSocket socket;
    private final Handler handler;

    Engine(String id, String service, String host, StoreStandIn store, int receiveBuffer, Handler handler)
            throws IOException {
        this.id = id;
        this.handler = handler;
        socket = new ServerSocket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 256);
        Threads.start(id, this::accept);
        store.put(
                "servers",
                id,
                "{\"Service\":\"" + service + "\",\"Address\":\""
                        + socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort()
                        + "\",\"zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":64,\"State\":\"ready\","
                        + "\"ColdMs\":0,\"Sequence\":1,\"born\":"
                        + System.currentTimeMillis() + "}");
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = socket.accept();
            connection.setTcpNoDelay(true);
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
        }
    }

    /** Returns the head of a response with the headers that every server sends. */
    static String head(int status, HttpMessage request, String framing) {
        return "HTTP/1.1 " + status + " X\r\n" + Wire.REQUEST_ID + ": " + request.header(Wire.REQUEST_ID)
                + "\r\n" + Wire.SIGNATURE + ": 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + framing + "\r\n";
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
