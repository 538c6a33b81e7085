import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Folders, addresses and the configuration of the operator for one case. */
final class Deployment {

    private static final int MAX_RUN_MILLIS = 110_000;

    final Path root;
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Journal journal;
    final StoreStandIn store;
    final String host;
    private final List<Router> routers = new ArrayList<>();

    /** Reads the arguments that run.sh passes: root of the repository, folder of the case, temporary folder. */
    Deployment(String[] arguments) throws IOException {
        root = Path.of(arguments[0]);
        folder = Path.of(arguments[2]);
        journal = new Journal(Path.of(arguments[1]).resolve("record.txt"));
        // The metrics port of the settings template is fixed, so each run has a host address of its own.
        long pid = ProcessHandle.current().pid();
        host = "127." + (64 + pid / 62500 % 128) + "." + (1 + pid / 250 % 250) + "." + (1 + pid % 250);
        store = new StoreStandIn(host);
        Threads.start("time limit", () -> {
            Threads.sleep(MAX_RUN_MILLIS);
            System.out.println("the case did not end in time");
            System.exit(2);
        });
        // The routers end with this program, also if the script that started it is killed.
        ProcessHandle script = ProcessHandle.current().parent().orElseThrow();
        Threads.start("script watch", () -> {
            while (script.isAlive()) {
                Threads.sleep(500);
            }
            System.exit(2);
        });
        journal.write("case", trouble ? "with the disruption" : "without the disruption");
    }

    /** Writes a configuration with one service {@code app} and one public route {@code /app/}, sent to one server. */
    void configure(String kind, int timeoutMillis) {
        configure(kind, timeoutMillis, 1, false);
    }

    /** Writes a configuration like {@link #configure} whose route carries streams that two servers may resume. */
    void configureResumableStreams(int timeoutMillis) {
        configure("streaming", timeoutMillis, 2, true);
    }

    private void configure(String kind, int timeoutMillis, int maxAttempts, boolean resumable) {
        put(route("app", kind, timeoutMillis, maxAttempts, resumable), service("app"));
    }

    /** Writes a configuration with two services and a public route {@code /NAME/} to each. */
    void configureTwo(String name, String kind, int timeoutMillis, String otherName, String otherKind, int otherMillis) {
        put(
                route(name, kind, timeoutMillis, 1, false) + "," + route(otherName, otherKind, otherMillis, 1, false),
                service(name) + "," + service(otherName));
    }

    private static String route(String name, String kind, int timeoutMillis, int maxAttempts, boolean resumable) {
        return "{\"Name\":\"r-" + name + "\",\"Host\":\"app.example\",\"Prefix\":\"/" + name + "/\",\"Kind\":\""
                + kind + "\",\"TimeoutMs\":" + timeoutMillis + ",\"TargetLatencyMs\":800,\"Priority\":1,"
                + "\"Service\":\"" + name + "\",\"MaxAttempts\":" + maxAttempts
                + ",\"Public\":true,\"SessionAffinity\":false,\"StreamResume\":" + resumable + "}";
    }

    private static String service(String name) {
        return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":360,\"Protocol\":\"h1\","
                + "\"Tls\":false,\"ColdS\":0.0,\"ColdPerS\":0.0}";
    }

    private void put(String routes, String services) {
        store.put(
                "op",
                "config",
                "{\"Version\":7,\"Routes\":[" + routes + "],\"Services\":[" + services
                        + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                        + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[]}");
    }

    Router router(String name) throws IOException {
        return remember(new Router(root, folder, name, host, store.address()));
    }

    private Router remember(Router router) {
        routers.add(router);
        return router;
    }

    /** Returns router number 1 to 50 of several, each with a host address of its own. */
    Router router(int number) throws IOException {
        String network = host.substring(0, host.indexOf('.', 4));
        int third = Integer.parseInt(host.split("\\.")[2]);
        String ownHost = network + "." + third + "." + (1 + (Integer.parseInt(host.split("\\.")[3]) + number * 5) % 254);
        return remember(new Router(root, folder, "front-" + number, ownHost, store.address()));
    }

    /** Ends the run as not possible unless, without the disruption, nearly all requests were served. */
    void requireServed(int served, int sent) {
        if (!trouble && (sent == 0 || served < sent * 0.95)) {
            System.out.println("only " + served + " of " + sent + " requests were served without the disruption");
            System.exit(2);
        }
    }

    /** Ends the run with exit code 10 if the rule held and 11 if it was broken. */
    void finish(boolean broken, String verdict) {
        if (!broken && !routers.stream().allMatch(Router::alive)) {
            System.out.println("a router has ended");
            System.exit(2);
        }
        journal.write("verdict", (broken ? "rule broken: " : "rule held: ") + verdict);
        System.out.println((broken ? "rule broken: " : "rule held: ") + verdict);
        System.exit(broken ? 11 : 10);
    }
}
