import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A requester hides a request in the body of another one, whose transfer coding does not tell where the body ends. */
final class SmuggledRequest {

    private static final int ATTEMPTS = 5;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final String CODING = System.getProperty("coding", "Transfer-Encoding: gzip");

    private SmuggledRequest() {}

    public static void main(String[] arguments) throws Exception {
        Deployment deployment = new Deployment(arguments);
        Journal journal = deployment.journal;
        deployment.configure("non_idempotent", DEADLINE_MILLIS, 1);
        Set<String> ran = ConcurrentHashMap.newKeySet();
        var unused = new Engine("i-1", "app", deployment.host, deployment.store, 0, (request, in, out, connection) -> {
            String id = request.header("Coltsfootquay-Request-Id");
            byte[] body = request.readBody(in);
            ran.add(id);
            journal.write("engine", "runs " + id + ": " + request.startLine + ", body of " + body.length + " bytes");
            out.write(Engine.bytes(Engine.head(200, request, "Content-Length: 5\r\n") + "hello"));
            return true;
        });
        Router router = deployment.router("front-1");
        router.start();
        router.awaitReady();
        int smuggled = 0;
        int served = 0;
        for (int i = 0; i < ATTEMPTS; i++) {
            String outer = "request-" + i;
            String inner = "hidden-" + i;
            String body = request("/app/cancel", inner, "Content-Length: 0");
            String framing = deployment.trouble ? CODING : "Content-Length: " + body.length();
            journal.write(outer, "sent with " + framing + ", a body of " + body.length() + " bytes that holds " + inner);
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(router.host, router.callerPort));
                socket.setSoTimeout(1000);
                OutputStream out = socket.getOutputStream();
                out.write(Engine.bytes(request("/app/order", outer, framing) + body));
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (HttpMessage head = HttpMessage.readHead(in); head != null; head = HttpMessage.readHead(in)) {
                    head.readBody(in);
                    journal.write(outer, "gets " + head.status() + " for "
                            + head.headers.getOrDefault("Coltsfootquay-Request-Id", "(no id)"));
                    served += head.status() == 200 ? 1 : 0;
                }
            } catch (SocketTimeoutException e) {
                journal.write(outer, "gets nothing more");
            } catch (IOException e) {
                journal.write(outer, "connection ends: " + e.getMessage());
            }
            smuggled += ran.contains(inner) ? 1 : 0;
        }
        if (!deployment.trouble && served < ATTEMPTS) {
            System.out.println("only " + served + " requests were served");
            System.exit(2);
        }
        deployment.finish(smuggled > 0, smuggled + " of " + ATTEMPTS + " hidden requests ran");
    }

    private static String request(String path, String id, String framing) {
        return "POST " + path + " HTTP/1.1\r\nHost: app.example\r\nColtsfootquay-Request-Id: " + id
                + "\r\nColtsfootquay-Deadline-Ms: " + DEADLINE_MILLIS + "\r\n" + framing + "\r\n\r\n";
    }
}
