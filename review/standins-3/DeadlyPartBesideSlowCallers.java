import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A part of prompts crashes model servers, while some callers read their streams slowly. Exit codes: 0 rule kept, 1 rule
 * broken, 2 the case could not run.
 */
public final class DeadlyPartBesideSlowCallers {

    private static final int SERVERS = 6;
    private static final int PLAY_MILLIS = 30_000;
    private static final int DEADLY_INTERVAL_MILLIS = 1_500;
    private static final int SOUND_INTERVAL_MILLIS = 50;
    private static final int SLOW_INTERVAL_MILLIS = 300;
    private static final int RESTART_MILLIS = 2_000;

    /** ContactMs of the site. */
    private static final int CONTACT_MILLIS = 3_000;

    /** Requests with the part that the rule permits later. */
    private static final int PERMITTED = 3;

    private final Fleet fleet;
    private final List<Long> crashMillis = new ArrayList<>();
    private final AtomicInteger soundServed = new AtomicInteger();
    private final AtomicInteger soundSent = new AtomicInteger();
    private volatile boolean playing = true;

    private DeadlyPartBesideSlowCallers(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Argument: the file of the record. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        boolean slow = !"0".equals(System.getenv("SLOW"));
        System.exit(new DeadlyPartBesideSlowCallers(new Fleet(Path.of(arguments[0]))).run(trouble, slow));
    }

    private int run(boolean trouble, boolean slow) throws Exception {
        fleet.configure(Fleet.usualLimits());
        for (int number = 1; number <= SERVERS; number++) {
            int server = number;
            Threads.start("server " + number, () -> keepServer(server));
        }
        fleet.startRouter(1, true);
        if (!fleet.awaitReady(1, 30_000)) {
            fleet.record("the router did not become ready");
            return 2;
        }
        Thread.sleep(2_000);
        fleet.record("requests begin");
        if (slow) {
            every(SLOW_INTERVAL_MILLIS, this::callSlowly);
        }
        every(SOUND_INTERVAL_MILLIS, this::callSoundly);
        Thread.sleep(10_000);
        if (trouble) {
            every(DEADLY_INTERVAL_MILLIS, this::callDeadly);
        }
        Thread.sleep(PLAY_MILLIS);
        playing = false;
        Thread.sleep(1_000);
        return judge(trouble);
    }

    private int judge(boolean trouble) throws IOException {
        List<Long> deadly = new ArrayList<>();
        for (String line : Files.readAllLines(fleet.folder.resolve("runs"))) {
            if (line.contains(" deadly-")) {
                fleet.record("run: " + line);
                deadly.add(Long.parseLong(line.replaceFirst(".* at (\\d+) .*", "$1")));
            }
        }
        int late = 0;
        synchronized (crashMillis) {
            if (crashMillis.size() >= 5) {
                long from = crashMillis.get(4) + CONTACT_MILLIS;
                late = (int) deadly.stream().filter(millis -> millis > from).count();
            }
            fleet.record(crashMillis.size() + " crashes, " + deadly.size() + " requests with the part reached servers, " + late
                    + " of them later than " + CONTACT_MILLIS + " ms after the fifth crash; sound requests served: "
                    + soundServed + " of " + soundSent);
        }
        if (!trouble && soundServed.get() < soundSent.get() * 0.95) {
            return 2;
        }
        fleet.record(late > PERMITTED ? "BROKEN: more than " + PERMITTED + " such requests" : "kept");
        return late > PERMITTED ? 1 : 0;
    }

    /** Starts a server again, under a new id, some seconds after each crash. */
    private void keepServer(int number) throws Exception {
        for (int boot = 1; playing; boot++) {
            String id = "server-" + number + "-" + boot;
            Process process = fleet.startStandIn("ModelServer", id, fleet.ip(100 + number));
            fleet.registerStandIn(id, "model", fleet.ip(100 + number));
            process.waitFor();
            synchronized (crashMillis) {
                crashMillis.add(System.currentTimeMillis());
            }
            fleet.record(id + " has crashed");
            Thread.sleep(RESTART_MILLIS);
            fleet.store.remove("servers", id);
        }
    }

    private void every(int millis, java.util.function.IntConsumer call) {
        Threads.start("calls", () -> {
            for (int number = 1; playing; number++) {
                int request = number;
                Threads.start("call", () -> call.accept(request));
                Thread.sleep(millis);
            }
        });
    }

    private void callSoundly(int number) {
        soundSent.incrementAndGet();
        try (Client client = new Client(fleet.callerAddress(1))) {
            client.send(head("/stream/short", "sound-" + number, "a" + number % 5 + ":800"), "{}".getBytes());
            if (client.read(6_000).status() == 200) {
                soundServed.incrementAndGet();
            }
        } catch (IOException e) {
            return;
        }
    }

    private void callDeadly(int number) {
        try (Client client = new Client(fleet.callerAddress(1))) {
            client.send(head("/stream/short", "deadly-" + number, ModelServer.DEADLY_PART + "800"), "{}".getBytes());
            Message answer = client.read(12_000);
            fleet.record("deadly-" + number + " answered: " + answer.firstLine);
        } catch (IOException e) {
            fleet.record("deadly-" + number + " broken off");
        }
    }

    /** Reads the head, and then 4 KiB a second until the router ends the answer. */
    private void callSlowly(int number) {
        try (Client client = new Client(fleet.callerAddress(1), 4096)) {
            client.send(head("/stream/long", "slow-" + number, "b" + number + ":800"), "{}".getBytes());
            client.readHead(6_000);
            while (playing && client.input().readNBytes(4096).length > 0) {
                TimeUnit.SECONDS.sleep(1);
            }
        } catch (IOException | InterruptedException e) {
            return;
        }
    }

    private static String head(String path, String id, String part) {
        return Client.head(
                "POST",
                path,
                id,
                12_000,
                2,
                Wire.header("usage") + ": 850,20\r\n" + Wire.header("parts") + ": " + part + ","
                        + Integer.toHexString(id.hashCode()) + ":50\r\n");
    }
}
