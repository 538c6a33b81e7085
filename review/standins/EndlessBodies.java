import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The engines of one service send bodies without end; another service of the same router is sound. */
final class EndlessBodies {

    private static final String KIND = System.getProperty("kind", "streaming");
    private static final int RATE = Integer.getInteger("rate", 30);
    private static final int BYTES_PER_SECOND = Integer.getInteger("speed", 80_000);
    private static final int BAD_TIMEOUT_MILLIS = 12_000;
    private static final int SOUND_TIMEOUT_MILLIS = 800;
    private static final int CHANNELS = 10;
    private static final int RUN_MILLIS = 40_000;
    private static final int LATE_MILLIS = 500;

    private final Deployment deployment;
    private final Journal journal;
    private final Set<String> passedOn = ConcurrentHashMap.newKeySet();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger timedOut = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();

    private EndlessBodies(Deployment deployment) {
        this.deployment = deployment;
        this.journal = deployment.journal;
    }

    public static void main(String[] arguments) throws Exception {
        new EndlessBodies(new Deployment(arguments)).run();
    }

    private void run() throws Exception {
        deployment.configureTwo("model", KIND, BAD_TIMEOUT_MILLIS, "app", "non_idempotent", SOUND_TIMEOUT_MILLIS);
        for (int i = 1; i <= 3; i++) {
            var bad = new Engine("i-model-" + i, "model", deployment.host, deployment.store, 0, this::serveModel);
            var sound = new Engine("i-app-" + i, "app", deployment.host, deployment.store, 0, this::serveApp);
        }
        Router router = deployment.router("front-1");
        router.start();
        router.awaitReady();
        for (int i = 0; i < CHANNELS; i++) {
            String name = "app-" + i;
            Threads.start(name, () -> sendOnKeptChannel(router, name));
        }
        long end = System.nanoTime() + RUN_MILLIS * 1_000_000L;
        for (int number = 0; System.nanoTime() < end; number++) {
            String id = "model-" + number;
            Threads.start(id, () -> sendToModel(router, id));
            Threads.sleep(1000 / RATE);
        }
        journal.write("router", router.alive() ? "runs, ready " + router.ready() : "has ended");
        deployment.requireServed(served.get(), served.get() + timedOut.get());
        boolean endedByItself = !router.alive();
        boolean answersLate = timedOut.get() >= 8 && late.get() * 2 > timedOut.get();
        deployment.finish(
                lost.get() > 3 || answersLate || endedByItself,
                "sound service: " + served + " answered in time, " + timedOut + " not at the timeout of the route, "
                        + late + " of these not " + LATE_MILLIS + " ms later either; " + lost
                        + " were passed on and their kept channel closed without an answer");
    }

    private boolean serveModel(HttpMessage request, InputStream in, OutputStream out, Socket connection)
            throws IOException {
        request.readBody(in);
        out.write(Engine.bytes(
                Engine.head(200, request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
        if (!deployment.trouble) {
            for (int i = 1; i <= 5; i++) {
                String event = "id: " + i + "\ndata: tokens\n\n";
                out.write(Engine.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
                Threads.sleep(100);
            }
            out.write(Engine.bytes("0\r\n\r\n"));
            return true;
        }
        byte[] bytes = new byte[BYTES_PER_SECOND / 10];
        Arrays.fill(bytes, (byte) 'x');
        while (true) {
            out.write(Engine.bytes(Integer.toHexString(bytes.length) + "\r\n"));
            out.write(bytes);
            out.write(Engine.bytes("\r\n"));
            Threads.sleep(100);
        }
    }

    private boolean serveApp(HttpMessage request, InputStream in, OutputStream out, Socket connection)
            throws IOException {
        request.readBody(in);
        passedOn.add(request.header(Wire.REQUEST_ID));
        Threads.sleep(20);
        out.write(Engine.bytes(Engine.head(200, request, "Content-Length: 5\r\n") + "hello"));
        return true;
    }

    private static void sendToModel(Router router, String id) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(router.host, router.callerPort), 1000);
            socket.setSoTimeout(BAD_TIMEOUT_MILLIS + 2000);
            socket.getOutputStream()
                    .write(Engine.bytes("POST /model/2f HTTP/1.1\r\nHost: app.example\r\n" + Wire.REQUEST_ID + ": " + id
                            + "\r\n" + Wire.DEADLINE + ": " + BAD_TIMEOUT_MILLIS
                            + "\r\nContent-Length: 2\r\n\r\nhi"));
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[8192];
            while (in.read(buffer) >= 0) {
                continue;
            }
        }
    }

    private void sendOnKeptChannel(Router router, String name) {
        int number = 0;
        while (true) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(router.host, router.callerPort), 1000);
                socket.setSoTimeout(SOUND_TIMEOUT_MILLIS + LATE_MILLIS);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                for (boolean first = true; open; first = false) {
                    String id = name + "." + number++;
                    open = exchange(socket, in, id, !first);
                    Threads.sleep(100);
                }
            } catch (IOException e) {
                journal.write(name, "connection ends: " + e.getMessage());
                Threads.sleep(100);
            }
        }
    }

    /** Sends a request and judges its answer; returns false if the connection ends. */
    private boolean exchange(Socket socket, InputStream in, String id, boolean kept) throws IOException {
        long start = System.nanoTime();
        socket.getOutputStream()
                .write(Engine.bytes("POST /app/order HTTP/1.1\r\nHost: app.example\r\n" + Wire.REQUEST_ID + ": " + id
                        + "\r\n" + Wire.DEADLINE + ": 1500\r\nContent-Length: 2\r\n\r\nhi"));
        try {
            HttpMessage response = HttpMessage.readHead(in);
            if (response != null) {
                response.readBody(in);
                long millis = (System.nanoTime() - start) / 1_000_000;
                if (millis > SOUND_TIMEOUT_MILLIS) {
                    timedOut.incrementAndGet();
                    journal.write(id, "status " + response.status() + " after " + millis + " ms");
                } else {
                    served.incrementAndGet();
                }
                if (response.status() != 200) {
                    journal.write(id, "status " + response.status());
                }
                return !response.header("Connection").equalsIgnoreCase("close");
            }
        } catch (java.net.SocketTimeoutException e) {
            timedOut.incrementAndGet();
            late.incrementAndGet();
            journal.write(id, "no answer after " + (System.nanoTime() - start) / 1_000_000 + " ms");
            return false;
        } catch (IOException e) {
            journal.write(id, "broken off: " + e.getMessage());
        }
        boolean passed = passedOn.contains(id);
        journal.write(id, "closed without an answer" + (passed ? " after it was passed on" : ""));
        if (kept && passed) {
            lost.incrementAndGet();
        }
        return false;
    }
}
