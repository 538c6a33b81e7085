import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/** Model engines of some services, their configuration with tenants, and requests to them. */
final class ModelFleet {

    private final Deployment deployment;
    private final int prefillMillis;
    private final int restartMillis;
    private final Predicate<HttpMessage> crashes;
    private final Runnable crashListener;
    private final AtomicInteger engineNumber = new AtomicInteger();
    private final Set<ModelEngine> engines = ConcurrentHashMap.newKeySet();

    /** Creates a fleet without engines; an engine crashes when it begins to answer a request that matches. */
    ModelFleet(
            Deployment deployment,
            int prefillMillis,
            int restartMillis,
            Predicate<HttpMessage> crashes,
            Runnable crashListener) {
        this.deployment = deployment;
        this.prefillMillis = prefillMillis;
        this.restartMillis = restartMillis;
        this.crashes = crashes;
        this.crashListener = crashListener;
    }

    /** Writes a configuration with a route {@code /SERVICE/} for each service. */
    void configure(List<String> serviceNames, int tenantCount) {
        StringBuilder tenants = new StringBuilder();
        for (int i = 0; i < tenantCount; i++) {
            tenants.append(i == 0 ? "" : ",")
                    .append("{\"Name\":\"" + tenant(i) + "\",\"" + Wire.API_KEYS + "\":[\"" + key(i) + "\"],\"Priority\":1}");
        }
        String routes = "";
        String services = "";
        for (String service : serviceNames) {
            String comma = routes.isEmpty() ? "" : ",";
            routes += comma + "{\"Name\":\"r-" + service + "\",\"Host\":\"app.example\",\"Prefix\":\"/" + service
                    + "/\",\"Kind\":\"streaming\",\"TimeoutMs\":6000,\"TargetLatencyMs\":800,\"Priority\":1,"
                    + "\"Service\":\"" + service + "\",\"MaxAttempts\":1,\"Public\":false,\"SessionAffinity\":true,"
                    + "\"StreamResume\":false,\"TargetItlMs\":500}";
            services += comma + "{\"Name\":\"" + service + "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":360,"
                    + "\"Protocol\":\"h1\",\"Tls\":false,\"ColdS\":0.0,\"ColdPerS\":0.0,"
                    + "\"Engine\":{\"Slots\":64,\"" + Wire.CACHE_TOKENS + "\":501633,\"Models\":[{\"Name\":\"m\"}]}}";
        }
        deployment.store.put(
                "op",
                "config",
                "{\"Version\":7,\"Routes\":[" + routes + "],\"Services\":[" + services + "],"
                        + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                        + "\"IdleTimeoutMs\":15000,\"TokensPerS\":182000},\"Tenants\":[" + tenants + "]}");
    }

    private static String tenant(int number) {
        return "ritningsarkivet-avdelning-" + (100 + number);
    }

    private static String key(int number) {
        return "key" + (100 + number) + "asnmgkcuyj8pj";
    }

    /** Sends one request on a new connection and describes its answer. */
    static String send(Router router, String service, String id, int tenant, String parts) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(router.host, router.callerPort), 1000);
            socket.setSoTimeout(7000);
            socket.getOutputStream()
                    .write(Engine.bytes("POST /" + service + "/2f HTTP/1.1\r\nHost: app.example\r\n"
                            + Wire.REQUEST_ID + ": " + id + "\r\n" + Wire.DEADLINE + ": 6000\r\n"
                            + Wire.KEY + ": " + key(tenant) + "\r\n" + Wire.MODEL + ": m\r\n"
                            + Wire.TOKENS + ": 1450,80\r\n" + Wire.PROMPT_PARTS + ": " + parts
                            + "\r\nContent-Length: 2\r\n\r\nhi"));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            HttpMessage response = HttpMessage.readHead(in);
            if (response == null) {
                return "closed without an answer";
            }
            String body = new String(response.readBody(in), StandardCharsets.UTF_8).strip();
            return response.status() == 200 ? "200" : response.status() + " " + body;
        } catch (IOException e) {
            return "broken off: " + e.getMessage();
        }
    }

    void startEngine(String service) throws IOException {
        ModelEngine engine = new ModelEngine("i-" + service + "-" + engineNumber.incrementAndGet(), service);
        engines.add(engine);
        Threads.start(engine.id, engine::accept);
        deployment.store.put(
                "servers",
                engine.id,
                "{\"Service\":\"" + service + "\",\"Address\":\"" + deployment.host + ":"
                        + engine.listener.getLocalPort()
                        + "\",\"zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":64,\"State\":\"ready\",\"ColdMs\":0,"
                        + "\"Stage\":\"colocated\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],"
                        + "\"Sequence\":1,\"born\":" + System.currentTimeMillis() + "}");
    }

    /** Crashes all engines at once. */
    void crashAll() throws IOException {
        for (ModelEngine engine : List.copyOf(engines)) {
            engine.crash();
        }
    }

    /** An engine that streams five events; it starts again with a new id after a crash. */
    private final class ModelEngine {

        private final String id;
        private final String service;
        private final ServerSocket listener;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private boolean crashed;

        private ModelEngine(String id, String service) throws IOException {
            this.id = id;
            this.service = service;
            listener = new ServerSocket(0, 256, InetAddress.getByName(deployment.host));
        }

        private void accept() throws IOException {
            while (true) {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                synchronized (this) {
                    connections.add(connection);
                    if (crashed) {
                        reset(connection);
                    }
                }
                Threads.start(id, () -> serve(connection));
            }
        }

        private void serve(Socket connection) throws IOException {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                HttpMessage request = HttpMessage.readHead(in);
                while (request != null) {
                    request.readBody(in);
                    boolean deadly = crashes.test(request);
                    if (deadly) {
                        deployment.journal.write(id, "gets " + request.header(Wire.REQUEST_ID));
                    }
                    Threads.sleep(prefillMillis);
                    out.write(Engine.bytes(Engine.head(
                            200, request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
                    if (deadly) {
                        crash();
                        return;
                    }
                    for (int i = 1; i <= 5; i++) {
                        String event = "id: " + i + "\ndata: tokens\n\n";
                        out.write(Engine.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
                        Threads.sleep(10);
                    }
                    out.write(Engine.bytes("0\r\n\r\n"));
                    request = HttpMessage.readHead(in);
                }
            } finally {
                connections.remove(connection);
            }
        }

        private void crash() throws IOException {
            synchronized (this) {
                if (crashed) {
                    return;
                }
                crashed = true;
                engines.remove(this);
                listener.close();
                for (Socket connection : connections) {
                    reset(connection);
                }
            }
            deployment.journal.write(id, "crashes");
            crashListener.run();
            Threads.start(id + " restart", () -> {
                Threads.sleep(restartMillis);
                deployment.store.remove("servers", id);
                startEngine(service);
            });
        }

        private static void reset(Socket connection) {
            try {
                connection.setSoLinger(true, 0);
                connection.close();
            } catch (IOException e) {
                // The router closed it first.
            }
        }
    }
}
