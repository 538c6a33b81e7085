import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;

/** Application server in the process of the case: answers each request at once and counts runs by id. */
final class AppServer {

    /** Size of an answer to a path that ends with "big". */
    static final int BIG_ANSWER_BYTES = 3_900_000;

    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final String id;
    private final ServerSocket listener;
    private final BiConsumer<Message, Integer> onRun;

    AppServer(String id, String ip, BiConsumer<Message, Integer> onRun) throws IOException {
        this.id = id;
        this.onRun = onRun;
        listener = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Threads.start(id, this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Threads.start(id + " connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            for (Message request = Message.read(socket.getInputStream());
                    request != null;
                    request = Message.read(socket.getInputStream())) {
                String requestId = request.header(Wire.header("id"));
                boolean own = request.header(Wire.header("expect")).equals(id);
                String answer = "done " + requestId + "x".repeat(request.target().endsWith("big") ? BIG_ANSWER_BYTES : 0);
                if (own) {
                    onRun.accept(request, runs.merge(requestId, 1, Integer::sum));
                }
                OutputStream out = socket.getOutputStream();
                out.write(((own ? "HTTP/1.1 200 OK" : "HTTP/1.1 421 Misdirected Request") + "\r\n"
                                + Wire.header("id") + ": " + requestId + "\r\n" + Wire.header("instance") + ": " + id
                                + "\r\n" + Wire.header("seal") + ": seal-" + id + "\r\nContent-Length: "
                                + answer.length() + "\r\n\r\n" + answer)
                        .getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        }
    }
}
