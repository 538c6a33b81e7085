import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * All routers (here one) are killed while the store is down, and started again; callers go on. Once the store is back
 * and the time to recover has passed, requests must be served again. Exit codes: 0 rule kept, 1 rule broken, 2 the case
 * could not run.
 */
public final class RestartWithoutStore {

    /** Length of the outage, the longest of the whole store in the site files. */
    private static final int OUTAGE_MILLIS = 8_000;

    /** RecoverS of the site. */
    private static final int RECOVER_MILLIS = 12_000;

    private static final int CALM_MILLIS = 5_000;
    private static final int CHECK_MILLIS = 10_000;
    private static final int BODY_BYTES = 250_000;
    private static final int REQUESTS_PER_SECOND = 120;

    private final Fleet fleet;
    private final long startNanos = System.nanoTime();
    private final Map<Integer, Map<String, Integer>> answers = new ConcurrentHashMap<>();
    private volatile boolean sending = true;

    private RestartWithoutStore(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Argument: the file of the record. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        boolean outage = !"0".equals(System.getenv("OUTAGE"));
        System.exit(new RestartWithoutStore(new Fleet(Path.of(arguments[0]))).run(trouble, outage));
    }

    private int run(boolean trouble, boolean outage) throws Exception {
        AppServer server = new AppServer("app-1", fleet.ip(101), (request, run) -> {});
        fleet.configure(Fleet.usualLimits());
        fleet.register("app-1", "app", server.address(), System.currentTimeMillis(), "ready");
        Process router = fleet.startRouter(1, true);
        if (!fleet.awaitReady(1, 30_000)) {
            fleet.record("the router did not become ready");
            return 2;
        }
        Threads.start("sender", this::send);
        int calmFrom = second() + 1;
        Thread.sleep(CALM_MILLIS);
        int calmTo = second();
        fleet.record("seconds " + calmFrom + " to " + calmTo + " are before the fault");
        if (trouble) {
            if (outage) {
                fleet.store.setMode(Store.Mode.BUSY);
                fleet.record("the store answers 503 from now on");
            }
            router.destroyForcibly().waitFor();
            fleet.record("the router was killed by SIGKILL");
            Thread.sleep(1_000);
            router = fleet.startRouter(1, false);
            fleet.record("the router was started again");
            Thread.sleep(OUTAGE_MILLIS - 1_000);
            fleet.store.setMode(Store.Mode.UP);
            fleet.record("the store is up");
        } else {
            Thread.sleep(OUTAGE_MILLIS);
        }
        Thread.sleep(RECOVER_MILLIS + 1_000);
        int checkFrom = second();
        fleet.record("seconds from " + checkFrom + " on count, later than the time to recover");
        Thread.sleep(CHECK_MILLIS);
        int checkTo = second();
        sending = false;
        Thread.sleep(3_000);
        new TreeMap<>(answers).forEach((second, counts) -> fleet.record("second " + second + ": " + counts));
        double before = share(calmFrom, calmTo);
        double after = share(checkFrom, checkTo);
        fleet.record(String.format("served before %.3f, after %.3f; process alive: %s", before, after, router.isAlive()));
        fleet.record("ready page answers: " + fleet.awaitReady(1, 3_000));
        if (before < 0.25) {
            return 2;
        }
        fleet.record(after < 0.25 ? "BROKEN: less than a quarter is served after the time to recover" : "kept");
        return after < 0.25 ? 1 : 0;
    }

    /** Returns the share of requests that were answered with 200 among those sent in some seconds. */
    private double share(int from, int to) {
        int all = 0;
        int served = 0;
        for (int second = from; second < to; second++) {
            Map<String, Integer> counts = answers.getOrDefault(second, Map.of());
            all += counts.values().stream().mapToInt(Integer::intValue).sum();
            served += counts.getOrDefault("200", 0);
        }
        return all == 0 ? 0 : (double) served / all;
    }

    private int second() {
        return (int) ((System.nanoTime() - startNanos) / 1_000_000_000L);
    }

    private void send() throws Exception {
        byte[] body = new byte[BODY_BYTES];
        for (int number = 0; sending; number++) {
            int request = number;
            Threads.start("caller", () -> call(request, body));
            Thread.sleep(1_000 / REQUESTS_PER_SECOND);
        }
    }

    private void call(int number, byte[] body) {
        int second = second();
        String result;
        try (Client client = new Client(fleet.callerAddress(1))) {
            client.send(Client.head("POST", "/look/x", "request-" + number, 1_500, body.length, ""), body);
            result = String.valueOf(client.read(1_500).status());
        } catch (IOException e) {
            result = String.valueOf(e.getMessage());
        }
        answers.computeIfAbsent(second, key -> new ConcurrentHashMap<>()).merge(result, 1, Integer::sum);
    }
}
