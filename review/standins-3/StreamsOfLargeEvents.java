import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Six of seven routers are lost, and the one that is left carries the streams of all callers, which have large events. Exit
 * codes: 0 rule kept, 1 rule broken, 2 the case could not run.
 */
public final class StreamsOfLargeEvents {

    private static final int SERVERS = 6;
    private static final int ROUTERS = 7;
    private static final int CALLERS = 200;
    private static final int STREAM_MILLIS = 30_000;

    private final Fleet fleet;
    private final AtomicInteger broken = new AtomicInteger();
    private final Map<String, Integer> ends = new TreeMap<>();

    private StreamsOfLargeEvents(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Argument: the file of the record. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(new StreamsOfLargeEvents(new Fleet(Path.of(arguments[0]))).run(trouble));
    }

    private int run(boolean trouble) throws Exception {
        fleet.configure(Fleet.usualLimits());
        for (int number = 1; number <= SERVERS; number++) {
            fleet.startStandIn("ModelServer", "server-" + number, fleet.ip(100 + number));
        }
        for (int number = 1; number <= SERVERS; number++) {
            fleet.registerStandIn("server-" + number, "model", fleet.ip(100 + number));
        }
        List<Process> routers = new ArrayList<>();
        for (int router = 1; router <= ROUTERS; router++) {
            routers.add(fleet.startRouter(router, true));
        }
        for (int router = 1; router <= ROUTERS; router++) {
            if (!fleet.awaitReady(router, 30_000)) {
                fleet.record("router " + router + " did not become ready");
                return 2;
            }
        }
        int left = trouble ? 1 : ROUTERS;
        for (Process router : routers.subList(left, ROUTERS)) {
            router.destroyForcibly().waitFor();
        }
        Thread.sleep(3_000);
        fleet.record(CALLERS + " callers begin; routers left: " + left);
        List<Thread> threads = new ArrayList<>();
        for (int number = 1; number <= CALLERS; number++) {
            String id = "stream-" + number;
            int router = 1 + number % left;
            threads.add(Threads.start(id, () -> call(id, router)));
            Thread.sleep(10);
        }
        for (Thread thread : threads) {
            thread.join(STREAM_MILLIS);
        }
        Map<String, Integer> runs = new TreeMap<>();
        for (String line : Files.readAllLines(fleet.folder.resolve("runs"))) {
            fleet.record("run: " + line);
            runs.merge(line.split(" ")[2], 1, Integer::sum);
        }
        fleet.record("requests with more than one run: "
                + runs.values().stream().filter(count -> count > 1).count());
        synchronized (ends) {
            fleet.record("ends: " + ends);
        }
        fleet.record(broken + " streams with a missing or repeated event");
        fleet.record(broken.get() > 0 ? "BROKEN: a piece is missing" : "kept");
        int complete = ends.getOrDefault("complete", 0);
        if (!trouble && complete < CALLERS) {
            return 2;
        }
        return broken.get() > 0 ? 1 : 0;
    }

    private void call(String id, int router) {
        List<Integer> numbers = new ArrayList<>();
        String end;
        try (Client client = new Client(fleet.callerAddress(router))) {
            client.send(Client.head("POST", "/stream/large", id, 12_000, 2, ""), "{}".getBytes());
            Message head = client.readHead(12_000);
            if (head.status() == 200) {
                StringBuilder text = new StringBuilder();
                for (byte[] chunk = Message.readChunk(client.input());
                        chunk.length > 0;
                        chunk = Message.readChunk(client.input())) {
                    text.append(new String(chunk, StandardCharsets.ISO_8859_1));
                    for (int to = text.indexOf("\n\n"); to >= 0; to = text.indexOf("\n\n")) {
                        numbers.add(Integer.parseInt(text.substring(text.indexOf("id: ") + 4, text.indexOf("\n"))));
                        text.delete(0, to + 2);
                    }
                }
                end = "complete";
            } else {
                end = "status " + head.status();
            }
        } catch (IOException e) {
            end = "broken off";
        }
        boolean gap = false;
        for (int i = 0; i < numbers.size(); i++) {
            gap |= numbers.get(i) != i + 1;
        }
        if (gap || (end.equals("complete") && numbers.size() != ModelServer.LARGE_EVENTS)) {
            broken.incrementAndGet();
            fleet.record(id + " " + end + ", events " + numbers);
        }
        synchronized (ends) {
            ends.merge(end, 1, Integer::sum);
        }
    }
}
