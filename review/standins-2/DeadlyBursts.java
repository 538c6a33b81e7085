import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a part of a prompt crashes each engine that begins to write an answer on it. Requests with that part come
 * several at a time, as those of one batch do.
 *
 * <p>Arguments: folder for temporary files, path of the record. Exit code 1 if more than three requests with the part
 * reached engines later than {@code ContactMs} after the fifth crash, 0 if not, 2 if the case could not run.
 */
final class DeadlyBursts {

    private static final int ENGINES = 8;
    private static final int ROUTERS = 8;
    private static final int SOUND_PER_SECOND = 24;
    private static final int LENGTH_SECONDS = 40;
    private static final int FIRST_BURST_SECOND = 6;
    private static final int BURST_INTERVAL_SECONDS = 6;
    private static final int BURST_SIZE = Integer.parseInt(System.getenv().getOrDefault("BURST", "5"));
    private static final long DOWN_MILLIS = 2000;
    private static final long CONTACT_MILLIS = 3000;
    private static final int COUNTED_CRASHES = 5;
    private static final int PERMITTED = 3;
    private static final int DEADLINE_MILLIS = 6000;

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final Fleet fleet;
    private final Map<String, Boolean> deadly = new ConcurrentHashMap<>();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger soundFailed = new AtomicInteger();

    private DeadlyBursts(Path folder, Path recordPath) throws IOException {
        this.record = new Record(recordPath);
        this.fleet = new Fleet(folder, record, "models", 64);
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try {
            result = new DeadlyBursts(Path.of(arguments[0]), Path.of(arguments[1])).run();
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run() throws IOException, InterruptedException {
        fleet.startCrashingEngines(ENGINES, DOWN_MILLIS);
        fleet.startRouters(ROUTERS);
        record.add("routers are ready, trouble " + (trouble ? "on" : "off"));
        ExecutorService requesters = Executors.newCachedThreadPool();
        Threads.start("bursts", () -> sendBursts(requesters));
        long startNanos = System.nanoTime();
        for (int i = 0; i < LENGTH_SECONDS * SOUND_PER_SECOND; i++) {
            int number = i;
            requesters.execute(() -> request(number, "sound" + number % 4));
            long nextNanos = startNanos + (i + 1) * 1_000_000_000L / SOUND_PER_SECOND;
            Thread.sleep(Math.max(0, (nextNanos - System.nanoTime()) / 1_000_000));
        }
        requesters.shutdown();
        if (!requesters.awaitTermination(8, TimeUnit.SECONDS)) {
            record.add("requesters did not end");
            return 2;
        }
        int crashes = fleet.crashNanos.size();
        fleet.end();
        int reached = 0;
        int late = 0;
        long fifthMillis = fleet.crashMillis(COUNTED_CRASHES);
        for (String line : fleet.runs()) {
            String[] words = line.split(" ");
            if (deadly.containsKey(words[1])) {
                reached++;
                late += Long.parseLong(words[words.length - 1]) > fifthMillis + CONTACT_MILLIS ? 1 : 0;
            }
        }
        String verdict = "requests with the part that reached engines " + reached + ", of these later than "
                + CONTACT_MILLIS + " ms after crash " + COUNTED_CRASHES + ": " + late + ", crashes " + crashes
                + "; sound requests whole " + whole + ", failed or cut " + soundFailed;
        record.add(verdict);
        System.out.println(verdict);
        if (whole.get() < LENGTH_SECONDS * SOUND_PER_SECOND / 4) {
            return 2;
        }
        return late > PERMITTED ? 1 : 0;
    }

    private void sendBursts(ExecutorService requesters) throws InterruptedException {
        Thread.sleep(FIRST_BURST_SECOND * 1000L);
        for (int second = FIRST_BURST_SECOND; second < LENGTH_SECONDS - 2; second += BURST_INTERVAL_SECONDS) {
            record.add("burst of " + BURST_SIZE);
            for (int i = 0; i < BURST_SIZE; i++) {
                int number = i;
                requesters.execute(() -> request(number, trouble ? Engine.DEADLY_PART : "harmless"));
            }
            Thread.sleep(BURST_INTERVAL_SECONDS * 1000L);
        }
    }

    /** Sends a prompt with a first part, a part that other requests have too, and a part of its own. */
    private void request(int number, String firstPart) {
        Processes.RouterAddress router = fleet.routers.get(number % ROUTERS);
        String id = Requester.newId();
        boolean sound = !firstPart.equals(Engine.DEADLY_PART);
        if (!sound) {
            deadly.put(id, true);
        }
        record.add("sent " + id + (sound ? "" : " with the deadly part") + " to " + router.name());
        Requester.Result result = Requester.stream(
                router.host(),
                router.frontPort(),
                "/single/x",
                id,
                firstPart + ":1000,other" + number % 12,
                DEADLINE_MILLIS);
        Message response = result.response();
        String outcome = response == null
                ? result.error()
                : response.startLine.split(" ")[1] + (response.complete ? "" : " cut");
        if (sound) {
            (outcome.equals("200") ? whole : soundFailed).incrementAndGet();
        }
        record.add("answered " + id + (sound ? "" : " with the deadly part") + ": " + outcome);
    }
}
