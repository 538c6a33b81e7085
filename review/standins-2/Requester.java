import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Requester that sends each request on a new channel and waits as long as a requester of a stream does. */
final class Requester {

    /** Longest gap of a stream before a requester gives it up: eight times the pause of 500 ms. */
    static final int STREAM_GAP_MILLIS = 4000;

    private static final AtomicLong NUMBERS = new AtomicLong(System.nanoTime() & 0xffffffL);

    /**
     * What became of a request.
     *
     * @param id id of the request
     * @param response response, or null if none has begun
     * @param error why the response ended early, empty if it did not
     */
    record Result(String id, Message response, String error) {}

    private Requester() {}

    static String newId() {
        return String.format("%016x", NUMBERS.incrementAndGet() * 0x9e3779b97f4a7c15L);
    }

    /** Sends a prompt on a route of streams; the name of its shared part is empty if it has none. */
    static Result stream(String host, int port, String path, String id, String sharedPart, int deadlineMillis) {
        String head = "POST " + path + " HTTP/1.1\r\nHost: " + Wire.get("host") + "\r\n" + Wire.get("header.request")
                + ": " + id + "\r\n" + Wire.get("header.key") + ": " + Wire.get("key") + "\r\n"
                + Wire.get("header.deadline") + ": " + deadlineMillis + "\r\n" + Wire.get("header.model") + ": m\r\n"
                + Wire.get("header.usage") + ": 1460,160\r\n" + Wire.get("header.parts") + ": "
                + (sharedPart.isEmpty() ? "" : sharedPart + ":1000,") + id.substring(0, 8)
                + ":460\r\nContent-Length: 4\r\n\r\nbody";
        return send(host, port, id, head, STREAM_GAP_MILLIS);
    }

    /** Sends a request that is answered with a short body. */
    static Result call(String host, int port, String path, String id, int deadlineMillis) {
        String head = "POST " + path + " HTTP/1.1\r\nHost: " + Wire.get("host") + "\r\n" + Wire.get("header.request")
                + ": " + id + "\r\n" + Wire.get("header.key") + ": " + Wire.get("key") + "\r\n"
                + Wire.get("header.deadline") + ": " + deadlineMillis + "\r\nContent-Length: 4\r\n\r\nbody";
        return send(host, port, id, head, deadlineMillis);
    }

    private static Result send(String host, int port, String id, String head, int timeoutMillis) {
        try (Socket connection = new Socket()) {
            connection.connect(new InetSocketAddress(host, port), 1000);
            connection.setTcpNoDelay(true);
            connection.setSoTimeout(timeoutMillis);
            OutputStream out = connection.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Message response = Message.readResponse(new BufferedInputStream(connection.getInputStream()));
            return new Result(id, response, response.complete ? "" : "ended early");
        } catch (IOException e) {
            return new Result(id, null, e.getMessage());
        }
    }
}
