import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: an engine starts while its clock is ahead, goes down and up again under its id once the clock is right, and
 * leaves later. The environment variable {@code AHEAD} changes by how many milliseconds the clock is ahead.
 *
 * <p>Arguments: folder for temporary files, path of the record. Exit code 1 if requests reached the engine after the
 * time for its leaving, 0 if none did, 2 if the case could not run.
 */
final class EarlierBirth {

    private static final int REQUESTS_PER_SECOND = 24;
    private static final int LENGTH_SECONDS = 34;
    private static final long CLOCK_AHEAD_MILLIS =
            Long.parseLong(System.getenv().getOrDefault("AHEAD", "2400"));
    private static final int FLAP_MILLIS = 750;
    private static final long DRAIN_MILLIS = 2000;
    private static final int LEAVING_MILLIS = 14000;
    private static final int DEADLINE_MILLIS = 6000;
    private static final int ENGINES = 7;
    private static final int ROUTERS = 8;

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final Fleet fleet;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final Map<String, String> results = new ConcurrentHashMap<>();
    private volatile long acknowledgedMillis;

    private EarlierBirth(Path folder, Path recordPath) throws IOException {
        this.record = new Record(recordPath);
        this.fleet = new Fleet(folder, record, "models", 64);
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try {
            result = new EarlierBirth(Path.of(arguments[0]), Path.of(arguments[1])).run();
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run() throws IOException, InterruptedException {
        fleet.startEngines(ENGINES);
        fleet.startRouters(ROUTERS);
        record.add("routers are ready, trouble " + (trouble ? "on" : "off"));
        ExecutorService requesters = Executors.newCachedThreadPool();
        Threads.start("engine", this::moveEngine);
        long startNanos = System.nanoTime();
        for (int i = 0; i < LENGTH_SECONDS * REQUESTS_PER_SECOND; i++) {
            int number = i;
            requesters.execute(() -> request(number));
            long nextNanos = startNanos + (i + 1) * 1_000_000_000L / REQUESTS_PER_SECOND;
            Thread.sleep(Math.max(0, (nextNanos - System.nanoTime()) / 1_000_000));
        }
        requesters.shutdown();
        if (!requesters.awaitTermination(8, TimeUnit.SECONDS)) {
            record.add("requesters did not end");
            return 2;
        }
        fleet.end();
        int late = 0;
        int lateFailed = 0;
        for (String line : fleet.runsOf("e" + ENGINES + "-1")) {
            String[] words = line.split(" ");
            long afterMillis = Long.parseLong(words[words.length - 1]) - acknowledgedMillis;
            if (afterMillis > DRAIN_MILLIS) {
                late++;
                String result = results.getOrDefault(words[1], "no answer");
                lateFailed += result.equals("200") ? 0 : 1;
                record.add("LATE: " + words[1] + " ran " + afterMillis
                        + " ms after the acknowledgement, its requester got " + result);
            }
        }
        String verdict = "answered " + answered + ", failed " + failed + ", ran at the leaving engine after "
                + DRAIN_MILLIS + " ms " + late + ", of these not answered with success " + lateFailed;
        record.add(verdict);
        System.out.println(verdict);
        if (answered.get() < LENGTH_SECONDS * REQUESTS_PER_SECOND / 2 || acknowledgedMillis == 0) {
            return 2;
        }
        return late > 0 ? 1 : 0;
    }

    private void moveEngine() throws IOException, InterruptedException {
        Thread.sleep(4000);
        Fleet.Member engine = fleet.addEngine(trouble ? CLOCK_AHEAD_MILLIS : 0);
        record.add("engine " + engine.id + " has started" + (trouble ? ", its clock is ahead" : ""));
        Thread.sleep(FLAP_MILLIS);
        if (trouble) {
            engine.link.refuse();
            engine.crash();
            record.add("engine goes down");
            Thread.sleep(FLAP_MILLIS);
            engine.start(engine.id, 0);
            engine.link.heal(engine.port);
            engine.reachStore();
            record.add("engine has started again under its id, its clock is right");
        }
        Thread.sleep(7000);
        engine.drain();
        acknowledgedMillis = System.currentTimeMillis();
        record.add("the store has accepted that the engine is leaving");
        Thread.sleep(LEAVING_MILLIS);
        engine.link.refuse();
        engine.leave();
        record.add("engine has left");
    }

    private void request(int number) {
        Processes.RouterAddress router = fleet.routers.get(number % fleet.routers.size());
        String id = Requester.newId();
        record.add("sent " + id + " to " + router.name());
        Requester.Result result =
                Requester.stream(router.host(), router.frontPort(), "/single/x", id, "", DEADLINE_MILLIS);
        Message response = result.response();
        String outcome = response == null
                ? result.error()
                : response.startLine.split(" ")[1] + (response.complete ? "" : " cut");
        results.put(id, outcome);
        (outcome.equals("200") ? answered : failed).incrementAndGet();
        record.add("answered " + id + ": " + outcome);
    }
}
