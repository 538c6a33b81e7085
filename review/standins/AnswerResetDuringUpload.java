import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;

/** An engine answers without a length before it has read a long body; the connection is reset inside the answer. */
final class AnswerResetDuringUpload {

    private static final int REQUESTS = 6;
    private static final int BODY_BYTES = Integer.getInteger("body", 4_000_000);
    private static final int ANSWER_BYTES = 800;
    private static final int FIRST_PART_BYTES = 500;
    private static final int ENGINE_WINDOW_BYTES = 16 << 10;
    private static final int DEADLINE_MILLIS = 10_000;

    private AnswerResetDuringUpload() {}

    public static void main(String[] arguments) throws Exception {
        Deployment deployment = new Deployment(arguments);
        Journal journal = deployment.journal;
        deployment.configure("non_idempotent", DEADLINE_MILLIS);
        var unused = new Engine(
                "i-1", "app", deployment.host, deployment.store, ENGINE_WINDOW_BYTES, (request, in, out, connection) ->
                        answer(request, in, out, connection, deployment));
        Router router = deployment.router("front-1");
        router.start();
        router.awaitReady();
        int truncated = 0;
        int complete = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "request-" + i;
            try {
                int received = send(router, id, journal);
                truncated += received >= 0 && received < ANSWER_BYTES ? 1 : 0;
                complete += received == ANSWER_BYTES ? 1 : 0;
            } catch (IOException e) {
                journal.write(id, "no complete answer: " + e.getMessage());
            }
        }
        if (!deployment.trouble && complete < REQUESTS) {
            System.out.println("only " + complete + " requests were served");
            System.exit(2);
        }
        deployment.finish(
                truncated > 0,
                truncated + " of " + REQUESTS + " requests got a success that looks complete and is not the whole body;"
                        + " " + complete + " got the whole body");
    }

    private static boolean answer(
            HttpMessage request, InputStream in, OutputStream out, Socket connection, Deployment deployment)
            throws IOException {
        String id = request.header(Wire.REQUEST_ID);
        byte[] answer = new byte[ANSWER_BYTES];
        Arrays.fill(answer, (byte) 'x');
        deployment.journal.write("engine", "runs " + id + ", answers without a length");
        out.write(Engine.bytes(Engine.head(200, request, "Connection: close\r\n")));
        out.write(answer, 0, FIRST_PART_BYTES);
        out.flush();
        Threads.sleep(300);
        // Half of the connections are reset.
        if (deployment.trouble && Integer.parseInt(id.substring(id.indexOf('-') + 1)) % 2 == 0) {
            deployment.journal.write("engine", "connection is reset after " + FIRST_PART_BYTES + " bytes of " + id);
            connection.setSoLinger(true, 0);
            return false;
        }
        request.readBody(in);
        out.write(answer, FIRST_PART_BYTES, ANSWER_BYTES - FIRST_PART_BYTES);
        deployment.journal.write("engine", "has read and answered " + id + ", closes the connection");
        return false;
    }

    /** Returns the length of a success that looks complete, or -1 for a failure. */
    private static int send(Router router, String id, Journal journal) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(router.host, router.callerPort));
            socket.setSoTimeout(DEADLINE_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write(Engine.bytes("POST /app/order HTTP/1.1\r\nHost: app.example\r\n" + Wire.REQUEST_ID + ": " + id
                    + "\r\n" + Wire.DEADLINE + ": " + DEADLINE_MILLIS + "\r\nContent-Length: " + BODY_BYTES
                    + "\r\n\r\n"));
            out.write(new byte[BODY_BYTES]);
            journal.write(id, "sent with a body of " + BODY_BYTES + " bytes");
            InputStream in = new BufferedInputStream(socket.getInputStream());
            HttpMessage response = HttpMessage.readHead(in);
            if (response == null) {
                throw new IOException("connection closed before an answer");
            }
            int length = response.readBody(in).length;
            journal.write(id, "status " + response.status() + ", complete body of " + length + " bytes");
            return response.status() == 200 ? length : -1;
        }
    }
}
