import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Case: routers are stopped and started by turns, and are told shortly after a start that their settings have changed.
 *
 * <p>Arguments: folder for temporary files, path of the record. Exit code 1 if processes of two machines ended by
 * themselves three times, 0 if not, 2 if the case could not run.
 */
final class HangupAtStart {

    private static final int ROUTERS = 7;
    private static final int CONCERNED = 2;
    private static final int ROUNDS = 3;
    private static final int GRACE_SECONDS = 8;
    private static final int RESTART_MILLIS = 500;

    private static final int HANGUP_AFTER_MILLIS =
            Integer.parseInt(System.getenv().getOrDefault("HANGUP_AFTER", "150"));

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final Fleet fleet;
    private final int[] ownEnds = new int[CONCERNED];

    private HangupAtStart(Path folder, Path recordPath) throws IOException {
        this.record = new Record(recordPath);
        this.fleet = new Fleet(folder, record, "models", 64);
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try {
            result = new HangupAtStart(Path.of(arguments[0]), Path.of(arguments[1])).run();
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run() throws IOException, InterruptedException {
        fleet.startEngines(3);
        fleet.startRouters(ROUTERS);
        record.add("routers are ready, trouble " + (trouble ? "on" : "off"));
        for (int round = 0; round < ROUNDS; round++) {
            for (int number = 0; number < CONCERNED; number++) {
                restart(number);
            }
        }
        int machines = 0;
        for (int ends : ownEnds) {
            machines += ends >= ROUNDS ? 1 : 0;
        }
        String verdict = "machines whose process ended by itself " + ROUNDS + " times: " + machines + " of " + ROUTERS;
        record.add(verdict);
        System.out.println(verdict);
        return machines >= CONCERNED ? 1 : 0;
    }

    private void restart(int number) throws IOException, InterruptedException {
        String name = fleet.routers.get(number).name();
        Process stopped = fleet.routerProcesses.get(number);
        Processes.signal(stopped, "TERM");
        record.add(name + ": SIGTERM");
        if (!stopped.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
            stopped.destroyForcibly().waitFor();
        }
        record.add(name + ": ended with " + stopped.exitValue());
        Thread.sleep(RESTART_MILLIS);
        fleet.restartRouter(number);
        record.add(name + ": started");
        if (trouble) {
            Thread.sleep(HANGUP_AFTER_MILLIS);
            Processes.signal(fleet.routerProcesses.get(number), "HUP");
            record.add(name + ": SIGHUP");
        }
        Process started = fleet.routerProcesses.get(number);
        if (started.waitFor(3, TimeUnit.SECONDS)) {
            ownEnds[number]++;
            record.add(name + ": ended by itself with " + started.exitValue());
            Thread.sleep(RESTART_MILLIS);
            fleet.restartRouter(number);
            record.add(name + ": started");
        }
        Fleet.awaitReady(fleet.routers.get(number));
        record.add(name + ": ready");
    }
}
