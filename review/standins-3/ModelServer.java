import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Model server as a process of its own: streams events with increasing ids. A path that ends with "long" gets many
 * events in chunks, one that ends with "large" large events in two parts each, one that ends with "short" two
 * events, any other small events without length that end with the connection.
 */
public final class ModelServer {

    /** Number of the last event of a stream. */
    static final int EVENTS = 40;

    /** Number and size of the events of a long answer. */
    static final int LONG_EVENTS = 400;

    private static final int LONG_EVENT_BYTES = 16 << 10;

    /** Part of a prompt that crashes the server once it begins to write an answer. */
    static final String DEADLY_PART = "dead01:";

    /** Number, size and interval of the events of an answer with large events. */
    static final int LARGE_EVENTS = 25;

    private static final int LARGE_EVENT_BYTES = 48 << 10;
    private static final int LARGE_EVENT_MILLIS = 200;

    private final String id;

    private ModelServer(String id) {
        this.id = id;
    }

    /** Starts with the arguments: id, IP address. The port goes to a file of the folder of the case. */
    public static void main(String[] arguments) throws IOException {
        ModelServer server = new ModelServer(arguments[0]);
        try (ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName(arguments[1]))) {
            Path folder = Path.of(System.getProperty("case.folder"));
            Path port = folder.resolve(arguments[0] + ".port.new");
            Files.writeString(port, String.valueOf(listener.getLocalPort()));
            Files.move(port, folder.resolve(arguments[0] + ".port"));
            while (true) {
                Socket socket = listener.accept();
                Threads.start("connection", () -> server.serve(socket));
            }
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            for (Message request = Message.read(socket.getInputStream());
                    request != null;
                    request = Message.read(socket.getInputStream())) {
                OutputStream out = socket.getOutputStream();
                if (!request.header(Wire.header("expect")).equals(id)) {
                    write(out, head("421 Misdirected Request", request) + "Content-Length: 0\r\n\r\n");
                    continue;
                }
                log(request);
                if (request.header(Wire.header("parts")).startsWith(DEADLY_PART)) {
                    crash(out, request);
                }
                String last = request.header(Wire.header("lastEvent"));
                int next = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
                if (request.target().endsWith("large")) {
                    streamLarge(out, request, next);
                } else if (request.target().endsWith("long")) {
                    streamLong(out, request, next);
                } else if (request.target().endsWith("short")) {
                    String events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";
                    write(out, head("200 OK", request) + "Content-Type: text/event-stream\r\nContent-Length: "
                            + events.length() + "\r\n\r\n" + events);
                } else {
                    stream(out, request, next);
                    return;
                }
            }
        }
    }

    private void crash(OutputStream out, Message request) throws IOException {
        write(out, head("200 OK", request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        String last = request.header(Wire.header("lastEvent"));
        String event = "id: " + (last.isEmpty() ? 1 : Integer.parseInt(last) + 1) + "\ndata: x\n\n";
        write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        Runtime.getRuntime().halt(1);
    }

    private void stream(OutputStream out, Message request, int next) throws Exception {
        write(out, head("200 OK", request) + "Content-Type: text/event-stream\r\n\r\n");
        for (int number = next; number <= EVENTS; number++) {
            write(out, "id: " + number + "\ndata: piece " + number + " of " + EVENTS + "\n\n");
            Thread.sleep(100);
        }
    }

    private void streamLong(OutputStream out, Message request, int next) throws Exception {
        write(out, head("200 OK", request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = next; number <= LONG_EVENTS; number++) {
            String event = "id: " + number + "\ndata: " + "x".repeat(LONG_EVENT_BYTES) + "\n\n";
            write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        write(out, "0\r\n\r\n");
    }

    /** Sends each event in two parts; the second one together with the first part of the next event. */
    private void streamLarge(OutputStream out, Message request, int next) throws Exception {
        write(out, head("200 OK", request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        String rest = "";
        for (int number = next; number <= LARGE_EVENTS; number++) {
            String event = "id: " + number + "\ndata: " + "x".repeat(LARGE_EVENT_BYTES) + "\n\n";
            int part = event.length() * 3 / 4;
            String bytes = rest + event.substring(0, part);
            write(out, Integer.toHexString(bytes.length()) + "\r\n" + bytes + "\r\n");
            rest = event.substring(part);
            Thread.sleep(LARGE_EVENT_MILLIS);
        }
        write(out, Integer.toHexString(rest.length()) + "\r\n" + rest + "\r\n0\r\n\r\n");
    }

    private String head(String status, Message request) {
        return "HTTP/1.1 " + status + "\r\n" + Wire.header("id") + ": " + request.header(Wire.header("id")) + "\r\n"
                + Wire.header("instance") + ": " + id + "\r\n"
                + (status.startsWith("200") ? Wire.header("seal") + ": seal-" + id + "\r\n" : "");
    }

    private void log(Message request) throws IOException {
        String line = id + " runs " + request.header(Wire.header("id")) + " " + request.target() + " at " + System.currentTimeMillis() + " after event \""
                + request.header(Wire.header("lastEvent")) + "\"\n";
        Files.writeString(
                Path.of(System.getProperty("case.folder"), "runs"),
                line,
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
