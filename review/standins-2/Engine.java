import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Engine. Requests on routes of streams are answered with a stream of numbered events; on the first
 * two engines one in twenty such answers has neither a length nor chunks and ends with its channel. All others are answered with a short body of known length.
 * A prompt with the part {@link #DEADLY_PART} ends the engine as it begins to write the answer.
 *
 * <p>Arguments: host, port, id, path of a file that exists once the engine is leaving.
 */
final class Engine {

    static final String DEADLY_PART = "dead";

    static final int EVENTS = 40;
    static final int EVENT_MILLIS = 50;
    static final int WORK_MILLIS = 86;

    /** Of so many answers one has no length: the largest share that the site file has for such answers. */
    private static final int UNFRAMED_INTERVAL = 20;

    private static final int FIRST_EVENT_MILLIS = 150;
    private static final int CRASHED = 134;

    private final String id;

    private final Path leavingFile;

    private Engine(String id, Path leavingFile) {
        this.id = id;
        this.leavingFile = leavingFile;
    }

    public static void main(String[] arguments) throws IOException {
        Engine engine = new Engine(arguments[2], Path.of(arguments[3]));
        ServerSocket socket =
                new ServerSocket(Integer.parseInt(arguments[1]), 200, InetAddress.getByName(arguments[0]));
        while (true) {
            Socket connection = socket.accept();
            Threads.start("connection", () -> engine.serve(connection));
        }
    }

    /** Returns the data of an event; the last one of a stream says so. */
    static String data(String request, int number) {
        return request + "." + number + (number == EVENTS ? ".last" : "");
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        connection.setTcpNoDelay(true);
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            boolean kept = true;
            for (Message request = Message.readRequest(in); kept && request != null; ) {
                kept = answer(request, out);
                request = kept ? Message.readRequest(in) : null;
            }
        }
    }

    private boolean answer(Message request, OutputStream out) throws IOException, InterruptedException {
        String requestId = request.header(Wire.get("header.request"), "");
        if (!request.header(Wire.get("header.expect"), id).equals(id)) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\n" + Wire.get("header.instance") + ": " + id + "\r\n"
                    + Wire.get("header.request") + ": " + requestId + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (!request.startLine.contains(" /resumable/") && !request.startLine.contains(" /single/")) {
            answerShortly(request, requestId, out);
            return true;
        }
        boolean framed = id.charAt(1) >= '2' || Math.floorMod(requestId.hashCode(), UNFRAMED_INTERVAL) != 0;
        System.out.println("run " + requestId + " at " + id + " tenant "
                + request.header(Wire.get("header.tenant"), "none") + (framed ? " framed" : " unframed")
                + " millis " + System.currentTimeMillis());
        if (request.header(Wire.get("header.parts"), "").contains(DEADLY_PART + ":")) {
            Thread.sleep(FIRST_EVENT_MILLIS);
            System.out.println("crash " + requestId + " at " + id + " millis " + System.currentTimeMillis());
            Runtime.getRuntime().halt(CRASHED);
        }
        write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + Wire.get("header.request") + ": "
                + requestId + "\r\n" + Wire.get("header.seal") + ": seal." + id + "\r\n"
                + leavingHeader()
                + (framed ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n"));
        int last = Integer.parseInt(request.header(Wire.get("header.lastEvent"), "0"));
        for (int number = last + 1; number <= EVENTS; number++) {
            Thread.sleep(EVENT_MILLIS);
            String event = "id: " + number + "\ndata: " + data(requestId, number) + "\n\n";
            write(out, framed ? Integer.toHexString(event.length()) + "\r\n" + event + "\r\n" : event);
        }
        if (framed) {
            write(out, "0\r\n\r\n");
        }
        System.out.println("end " + requestId + " at " + id);
        return framed;
    }

    /** An engine that leaves says so in all its answers. */
    private String leavingHeader() {
        return Files.exists(leavingFile) ? Wire.get("header.leaving") + ": 1\r\n" : "";
    }

    private void answerShortly(Message request, String requestId, OutputStream out)
            throws IOException, InterruptedException {
        System.out.println("run " + requestId + " at " + id + " millis " + System.currentTimeMillis());
        Thread.sleep(WORK_MILLIS);
        System.out.println("end " + requestId + " at " + id);
        String body = "done " + requestId + "\n" + ".".repeat(800);
        write(out, "HTTP/1.1 200 OK\r\n" + Wire.get("header.request") + ": " + requestId + "\r\n"
                + Wire.get("header.seal") + ": seal." + id + "\r\n" + leavingHeader() + "Content-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
