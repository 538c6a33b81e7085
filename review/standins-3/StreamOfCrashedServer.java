import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A model server crashes in the middle of a stream without length, while another caller reads a stream of the same
 * server slowly. Exit codes: 0 rule kept, 1 rule broken, 2 the case could not run.
 */
public final class StreamOfCrashedServer {

    /** Number of model servers, as on the sheet of the site; one of them crashes. */
    private static final int SERVERS = 6;

    private static final int EVENTS_BEFORE_CRASH = 15;

    private StreamOfCrashedServer() {}

    /** Argument: the file of the record. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        boolean slowCaller = !"0".equals(System.getenv("SLOW"));
        Fleet fleet = new Fleet(Path.of(arguments[0]));
        System.exit(run(fleet, trouble, slowCaller));
    }

    private static int run(Fleet fleet, boolean trouble, boolean slowCaller) throws Exception {
        fleet.configure(Fleet.usualLimits());
        Process first = fleet.startStandIn("ModelServer", "server-1", fleet.ip(101));
        fleet.registerStandIn("server-1", "model", fleet.ip(101));
        fleet.startRouter(1, true);
        if (!fleet.awaitReady(1, 30_000)) {
            fleet.record("the router did not become ready");
            return 2;
        }
        Client slow = new Client(fleet.callerAddress(1), 4096);
        if (slowCaller) {
            slow.send(Client.head("POST", "/stream/long", "slow-1", 12_000, 2, ""), "{}".getBytes());
            fleet.record("slow-1 sent; the caller reads the head and then 4 KiB a second");
            Message head = slow.readHead(5_000);
            fleet.record("slow-1 answered: " + head.firstLine);
            Threads.start("slow reader", () -> {
                while (true) {
                    Thread.sleep(1_000);
                    slow.input().readNBytes(4096);
                }
            });
            Thread.sleep(1_500);
        }
        AtomicReference<String> end = new AtomicReference<>();
        int[] last = {0};
        Thread reader = Threads.start("reader", () -> read(fleet, last, end));
        while (last[0] < EVENTS_BEFORE_CRASH) {
            if (end.get() != null) {
                return 2;
            }
            Thread.sleep(10);
        }
        for (int number = 2; number <= SERVERS; number++) {
            fleet.startStandIn("ModelServer", "server-" + number, fleet.ip(100 + number));
        }
        for (int number = 2; number <= SERVERS; number++) {
            fleet.registerStandIn("server-" + number, "model", fleet.ip(100 + number));
        }
        Thread.sleep(500);
        if (trouble) {
            first.destroyForcibly().waitFor();
            fleet.record("server-1 was killed by SIGKILL");
        }
        reader.join(12_000);
        slow.close();
        Path runs = fleet.folder.resolve("runs");
        for (String line : Files.readAllLines(runs)) {
            fleet.record("run: " + line);
        }
        fleet.record("last event of plain-1: " + last[0] + " of " + ModelServer.EVENTS + ", end: " + end.get());
        boolean broken = "complete".equals(end.get()) && last[0] < ModelServer.EVENTS;
        fleet.record(broken ? "BROKEN: the stream ended as complete before its last piece" : "kept");
        if (!trouble && !("complete".equals(end.get()) && last[0] == ModelServer.EVENTS)) {
            return 2;
        }
        return broken ? 1 : 0;
    }

    private static void read(Fleet fleet, int[] last, AtomicReference<String> end) throws IOException {
        try (Client client = new Client(fleet.callerAddress(1))) {
            client.send(Client.head("POST", "/stream/plain", "plain-1", 12_000, 2, ""), "{}".getBytes());
            fleet.record("plain-1 sent");
            Message head = client.readHead(5_000);
            fleet.record("plain-1 answered: " + head.firstLine);
            StringBuilder text = new StringBuilder();
            for (byte[] chunk = Message.readChunk(client.input());
                    chunk.length > 0;
                    chunk = Message.readChunk(client.input())) {
                text.append(new String(chunk, StandardCharsets.ISO_8859_1));
                int id = text.lastIndexOf("id: ");
                last[0] = Integer.parseInt(text.substring(id + 4, text.indexOf("\n", id)));
            }
            end.set("complete");
        } catch (IOException e) {
            end.set("broken off: " + e.getMessage());
        }
        fleet.record("plain-1 " + end.get() + " after event " + last[0]);
    }
}
