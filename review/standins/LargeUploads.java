import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Many requesters send bodies of the permitted size at once, beside a steady load of small requests. */
final class LargeUploads {

    private static final int UPLOADS = Integer.getInteger("uploads", 60);
    private static final int BODY_BYTES = Integer.getInteger("body", 4_000_000);
    private static final int STEADY = 10;
    private static final int DEADLINE_MILLIS = 10_000;

    private LargeUploads() {}

    public static void main(String[] arguments) throws Exception {
        Deployment deployment = new Deployment(arguments);
        Journal journal = deployment.journal;
        deployment.configure("non_idempotent", DEADLINE_MILLIS, 1);
        java.util.List<Engine> engines = new java.util.ArrayList<>();
        for (int i = 0; i < 3; i++) {
            engines.add(new Engine("i-" + i, "app", deployment.host, deployment.store, 0, (request, in, out, connection) -> {
                request.readBody(in);
                Threads.sleep(100);
                out.write(Engine.bytes(Engine.head(200, request, "Content-Length: 5\r\n") + "hello"));
                return true;
            }));
        }
        Router router = deployment.router("front-1");
        router.start();
        router.awaitReady();
        for (int i = 0; i < STEADY; i++) {
            String name = "steady-" + i;
            Threads.start(name, () -> steady(router, name, journal));
        }
        Threads.sleep(2000);
        AtomicInteger served = new AtomicInteger();
        if (deployment.trouble) {
            for (int i = 0; i < UPLOADS; i++) {
                String name = "upload-" + i;
                Threads.start(name, () -> {
                    try (Socket socket = connect(router)) {
                        String result = exchange(socket, name, BODY_BYTES);
                        journal.write(name, result);
                        served.incrementAndGet();
                    } catch (IOException e) {
                        journal.write(name, "failed: " + e.getMessage());
                    }
                });
            }
        }
        // Entries of engines change meanwhile.
        for (int i = 0; i < 100; i++) {
            for (Engine engine : engines) {
                engine.register("ready");
            }
            Threads.sleep(100);
        }
        Threads.sleep(Integer.getInteger("rest", 10000));
        journal.write("platform", "new configuration");
        deployment.configure("non_idempotent", DEADLINE_MILLIS, 1, 8, "/next/");
        Threads.sleep(5000);
        try (Socket socket = connect(router)) {
            journal.write("check", "old route " + exchange(socket, "check-1", 100, "/app/x"));
            journal.write("check", "new route " + exchange(socket, "check-2", 100, "/next/x"));
        }
        journal.write("platform", "router " + (router.alive() ? "runs" : "has ended") + ", ready " + router.ready());
        deployment.finish(false, served + " uploads answered");
    }

    private static Socket connect(Router router) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(router.host, router.callerPort), 1000);
        socket.setSoTimeout(DEADLINE_MILLIS + 1000);
        return socket;
    }

    private static void steady(Router router, String name, Journal journal) {
        int number = 0;
        while (true) {
            String last = "";
            try (Socket socket = connect(router)) {
                while (true) {
                    String id = name + "." + number++;
                    String result = exchange(socket, id, 100);
                    if (!result.equals(last)) {
                        journal.write(id, result);
                    }
                    last = result;
                    Threads.sleep(100);
                }
            } catch (IOException e) {
                journal.write(name, "connection lost after " + number + " requests: " + e.getMessage());
                Threads.sleep(200);
            }
        }
    }

    private static String exchange(Socket socket, String id, int bodyBytes) throws IOException {
        return exchange(socket, id, bodyBytes, "/app/order");
    }

    private static String exchange(Socket socket, String id, int bodyBytes, String path) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(Engine.bytes("POST " + path + " HTTP/1.1\r\nHost: app.example\r\nColtsfootquay-Request-Id: " + id
                + "\r\nColtsfootquay-Deadline-Ms: " + DEADLINE_MILLIS + "\r\nContent-Length: " + bodyBytes
                + "\r\n\r\n"));
        out.write(new byte[bodyBytes]);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        HttpMessage response = HttpMessage.readHead(in);
        if (response == null) {
            throw new IOException("closed without an answer");
        }
        byte[] body = response.readBody(in);
        if (response.status() != 200) {
            return "status " + response.status() + " " + new String(body);
        }
        return "status 200";
    }
}
