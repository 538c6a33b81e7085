import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: an engine that was cut off crashes behind the cut and starts again before the cut ends.
 *
 * <p>Arguments: folder for temporary files, path of the record. Exit code 1 if a requester got a stream that looked
 * complete and was not, 0 if none did, 2 if the case could not run.
 */
final class RebornEngine {

    private static final int ENGINES = 5;
    private static final int REQUESTS_PER_SECOND = 54;
    private static final int LENGTH_SECONDS = 44;
    private static final int FIRST_CUT_SECOND = 8;
    private static final int CUT_INTERVAL_SECONDS = 9;
    private static final int CUTS = 4;
    private static final int UNFRAMED_ENGINES = 2;
    private static final int CUT_MILLIS = 3000;

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final Fleet fleet;
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger falselyComplete = new AtomicInteger();

    private RebornEngine(Path folder, Path recordPath) throws IOException {
        this.record = new Record(recordPath);
        this.fleet = new Fleet(folder, record, "models", 64);
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try {
            result = new RebornEngine(Path.of(arguments[0]), Path.of(arguments[1])).run();
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run() throws IOException, InterruptedException {
        fleet.startEngines(ENGINES);
        fleet.startRouters(2);
        record.add("routers are ready, trouble " + (trouble ? "on" : "off"));
        ExecutorService requesters = Executors.newCachedThreadPool();
        Threads.start("trouble", this::makeTrouble);
        long startNanos = System.nanoTime();
        for (int i = 0; i < LENGTH_SECONDS * REQUESTS_PER_SECOND; i++) {
            int number = i;
            requesters.execute(() -> request(number));
            long nextNanos = startNanos + (i + 1) * 1_000_000_000L / REQUESTS_PER_SECOND;
            Thread.sleep(Math.max(0, (nextNanos - System.nanoTime()) / 1_000_000));
        }
        requesters.shutdown();
        if (!requesters.awaitTermination(15, TimeUnit.SECONDS)) {
            record.add("requesters did not end");
            return 2;
        }
        fleet.end();
        String verdict = "whole " + whole + ", failed or cut " + failed + ", looked complete and were not "
                + falselyComplete;
        record.add(verdict);
        System.out.println(verdict);
        if (whole.get() < LENGTH_SECONDS * REQUESTS_PER_SECOND / 2) {
            return 2;
        }
        return falselyComplete.get() > 0 ? 1 : 0;
    }

    private void request(int number) {
        Processes.RouterAddress router = fleet.routers.get(number % fleet.routers.size());
        boolean resumable = number / 2 % 2 == 0;
        String id = Requester.newId();
        record.add("sent " + id + (resumable ? " resumable" : " single") + " to " + router.name());
        Requester.Result result = Requester.stream(
                router.host(),
                router.frontPort(),
                resumable ? "/resumable/x" : "/single/x",
                id,
                "a" + number % 20,
                resumable ? 12000 : 6000);
        Message response = result.response();
        if (response == null || response.status() != 200 || !response.complete) {
            failed.incrementAndGet();
            record.add("answered " + id + ": "
                    + (response == null ? result.error() : response.startLine + " " + result.error()));
            return;
        }
        String body = new String(response.body, StandardCharsets.ISO_8859_1);
        StringBuilder expected = new StringBuilder();
        for (int event = 1; event <= Engine.EVENTS; event++) {
            expected.append("id: ").append(event).append("\ndata: ").append(Engine.data(id, event)).append("\n\n");
        }
        if (body.contentEquals(expected)) {
            whole.incrementAndGet();
            record.add("answered " + id + ": whole");
        } else {
            falselyComplete.incrementAndGet();
            record.add("answered " + id + ": LOOKS COMPLETE with " + body.split("\n\n").length + " of "
                    + Engine.EVENTS + " events, " + response.header(Wire.get("header.seal"), "no seal"));
        }
    }

    private void makeTrouble() throws IOException, InterruptedException {
        if (!trouble) {
            return;
        }
        Thread.sleep(FIRST_CUT_SECOND * 1000L);
        for (int i = 0; i < CUTS; i++) {
            Fleet.Member member = fleet.members.get(i % UNFRAMED_ENGINES);
            long startNanos = System.nanoTime();
            record.add("cut off " + member.id);
            member.link.cut();
            Thread.sleep(700);
            record.add("crash of " + member.id);
            member.crash();
            Thread.sleep(1000);
            member.start("e" + i % UNFRAMED_ENGINES + "-" + (i / UNFRAMED_ENGINES + 2), 0);
            record.add("started again behind the cut as " + member.id);
            Thread.sleep(CUT_MILLIS - (System.nanoTime() - startNanos) / 1_000_000);
            member.link.heal(member.port);
            member.reachStore();
            record.add("cut healed");
            Thread.sleep(CUT_INTERVAL_SECONDS * 1000L - CUT_MILLIS);
        }
    }
}
