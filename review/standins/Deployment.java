import java.io.IOException;
import java.nio.file.Path;

/** Folders, addresses and the configuration of the operator for one case. */
final class Deployment {

    final Path root;
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Journal journal;
    final StoreStandIn store;
    final String host;

    /** Reads the arguments that run.sh passes: root of the repository, folder of the case, temporary folder. */
    Deployment(String[] arguments) throws IOException {
        root = Path.of(arguments[0]);
        folder = Path.of(arguments[2]);
        journal = new Journal(Path.of(arguments[1]).resolve("record.txt"));
        // The metrics port of the settings template is fixed, so each run has a host address of its own.
        long pid = ProcessHandle.current().pid();
        host = "127." + (64 + pid / 62500 % 128) + "." + (1 + pid / 250 % 250) + "." + (1 + pid % 250);
        store = new StoreStandIn(host);
        journal.write("case", trouble ? "with the disruption" : "without the disruption");
    }

    /** Writes a configuration with one service {@code app} and one public route {@code /app/}. */
    void configure(String kind, int timeoutMillis, int maxAttempts) {
        configure(kind, timeoutMillis, maxAttempts, 7, "/app/");
    }

    /** Writes a configuration like {@link #configure} whose route carries streams that may be resumed. */
    void configureResumableStreams(int timeoutMillis) {
        configure("streaming", timeoutMillis, 2, 7, "/app/", true);
    }

    void configure(String kind, int timeoutMillis, int maxAttempts, int version, String prefix) {
        configure(kind, timeoutMillis, maxAttempts, version, prefix, false);
    }

    private void configure(
            String kind, int timeoutMillis, int maxAttempts, int version, String prefix, boolean resumable) {
        store.put(
                "op",
                "config",
                "{\"Version\":" + version
                        + ",\"Routes\":[{\"Name\":\"r-app\",\"Host\":\"app.example\",\"Prefix\":\"" + prefix
                        + "\",\"Kind\":\""
                        + kind + "\",\"TimeoutMs\":" + timeoutMillis
                        + ",\"TargetLatencyMs\":1000,\"Priority\":1,\"Service\":\"app\",\"MaxAttempts\":" + maxAttempts
                        + ",\"Public\":true,\"SessionAffinity\":false,\"StreamResume\":" + resumable + "}],"
                        + "\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/healthz\",\"MaxConnections\":100,"
                        + "\"Protocol\":\"h1\",\"Tls\":false,\"ColdS\":0.0,\"ColdPerS\":0.0}],"
                        + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                        + "\"IdleTimeoutMs\":15000},\"Tenants\":[]}");
    }

    /** Writes a configuration with a public route {@code /NAME/} for each service, given as name, kind and timeout. */
    void configureRoutes(String[]... services) {
        StringBuilder routes = new StringBuilder();
        StringBuilder policies = new StringBuilder();
        for (String[] service : services) {
            String comma = routes.length() == 0 ? "" : ",";
            routes.append(comma)
                    .append("{\"Name\":\"r-" + service[0] + "\",\"Host\":\"app.example\",\"Prefix\":\"/"
                            + service[0] + "/\",\"Kind\":\"" + service[1] + "\",\"TimeoutMs\":" + service[2]
                            + ",\"TargetLatencyMs\":800,\"Priority\":1,\"Service\":\"" + service[0]
                            + "\",\"MaxAttempts\":1,\"Public\":true,\"SessionAffinity\":false,"
                            + "\"StreamResume\":false}");
            policies.append(comma)
                    .append("{\"Name\":\"" + service[0] + "\",\"HealthPath\":\"/healthz\","
                            + "\"MaxConnections\":360,\"Protocol\":\"h1\",\"Tls\":false,\"ColdS\":0.0,"
                            + "\"ColdPerS\":0.0}");
        }
        store.put(
                "op",
                "config",
                "{\"Version\":7,\"Routes\":[" + routes + "],\"Services\":[" + policies
                        + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                        + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[]}");
    }

    Router router(String name) throws IOException {
        return new Router(root, folder, name, host, store.address());
    }

    /** Returns router number 1 to 50 of several, each with a host address of its own. */
    Router router(int number) throws IOException {
        String network = host.substring(0, host.indexOf('.', 4));
        int third = Integer.parseInt(host.split("\\.")[2]);
        String ownHost = network + "." + third + "." + (1 + (Integer.parseInt(host.split("\\.")[3]) + number * 5) % 254);
        return new Router(root, folder, "front-" + number, ownHost, store.address());
    }

    /** Ends the run with the exit code of the case. */
    void finish(boolean broken, String verdict) {
        journal.write("verdict", (broken ? "rule broken: " : "rule held: ") + verdict);
        System.out.println((broken ? "rule broken: " : "rule held: ") + verdict);
        System.exit(broken ? 1 : 0);
    }
}
