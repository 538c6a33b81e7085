import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine ends a chunked stream inside an event; another engine could resume it. */
final class StreamCutInsideEvent {

    private static final int REQUESTS = 200;
    private static final int EVENTS = 8;
    private static final int CUT_EVENT = 5;
    /** The engine i-1, one of two, spoils one in 50 of its answers. */
    private static final int SPOILED_INTERVAL = 50;

    private static final int DEADLINE_MILLIS = 6_000;

    private StreamCutInsideEvent() {}

    public static void main(String[] arguments) throws Exception {
        Deployment deployment = new Deployment(arguments);
        Journal journal = deployment.journal;
        deployment.configureResumableStreams(DEADLINE_MILLIS);
        for (int i = 1; i <= 2; i++) {
            String engine = "i-" + i;
            AtomicInteger answers = new AtomicInteger(i == 1 ? 0 : Integer.MIN_VALUE);
            var unused = new Engine(engine, "app", deployment.host, deployment.store, 0, (request, in, out, connection) ->
                    stream(engine, request, in, out, deployment, answers));
        }
        Router router = deployment.router("front-1");
        router.start();
        router.awaitReady();
        int cut = 0;
        int complete = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "request-" + i;
            try {
                String body = send(router, id);
                boolean whole = body.endsWith("id: " + EVENTS + "\ndata: last\n\n");
                journal.write(id, "complete answer with "
                        + (whole ? "all events" : "the end: " + body.substring(Math.max(0, body.length() - 30))
                                .replace("\n", "\\n")));
                complete += whole ? 1 : 0;
                cut += whole ? 0 : 1;
            } catch (IOException e) {
                journal.write(id, "broken off: " + e.getMessage());
            }
        }
        if (!deployment.trouble && complete < REQUESTS) {
            System.out.println("only " + complete + " requests were served");
            System.exit(2);
        }
        deployment.finish(
                cut > 0,
                cut + " of " + REQUESTS + " streams ended as complete before their last event, " + complete
                        + " were whole");
    }

    /** Streams the events after Last-Event-Id; a spoiled stream ends inside an event. */
    private static boolean stream(
            String engine,
            HttpMessage request,
            InputStream in,
            OutputStream out,
            Deployment deployment,
            AtomicInteger answers)
            throws IOException {
        request.readBody(in);
        String id = request.header(Wire.REQUEST_ID);
        String last = request.header("Last-Event-Id");
        deployment.journal.write(engine, "runs " + id + (last.isEmpty() ? "" : " from event " + last));
        boolean spoiled = deployment.trouble && answers.incrementAndGet() > 0 && answers.get() % SPOILED_INTERVAL == 0;
        out.write(Engine.bytes(
                Engine.head(200, request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
        for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
            boolean cut = spoiled && i == CUT_EVENT;
            String event = "id: " + i + "\ndata: " + (i == EVENTS ? "last" : "tokens") + "\n\n";
            String sent = cut ? event.substring(0, event.length() - 4) : event;
            out.write(Engine.bytes(Integer.toHexString(sent.length()) + "\r\n" + sent + "\r\n"));
            Threads.sleep(5);
            if (cut) {
                deployment.journal.write(engine, "stops inside event " + i + " of " + id);
                break;
            }
        }
        out.write(Engine.bytes("0\r\n\r\n"));
        return true;
    }

    private static String send(Router router, String id) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(router.host, router.callerPort));
            socket.setSoTimeout(DEADLINE_MILLIS);
            socket.getOutputStream()
                    .write(Engine.bytes("POST /app/2f HTTP/1.1\r\nHost: app.example\r\n" + Wire.REQUEST_ID + ": " + id
                            + "\r\n" + Wire.DEADLINE + ": " + DEADLINE_MILLIS + "\r\nContent-Length: 2\r\n\r\nhi"));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            HttpMessage response = HttpMessage.readHead(in);
            if (response == null || response.status() != 200) {
                throw new IOException(response == null ? "closed without an answer" : "status " + response.status());
            }
            return new String(response.readBody(in), StandardCharsets.UTF_8);
        }
    }
}
