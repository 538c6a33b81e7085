import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
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
    private static final int REQUESTS_PER_SECOND = 14;
    private static final int LENGTH_SECONDS = 44;
    private static final int FIRST_CUT_SECOND = 8;
    private static final int CUT_INTERVAL_SECONDS = 12;
    private static final int CUTS = 3;
    private static final int CUT_MILLIS = 3000;
    private static final int BEAT_MILLIS = 1200;
    private static final int LAPSE_MILLIS = 3 * BEAT_MILLIS;
    private static final int COLD_MILLIS = 3000;

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path folder;
    private final Record record;
    private final Processes processes;
    private final String host = "127.77." + (1 + System.nanoTime() % 200) + ".1";
    private final Store store;
    private final List<Member> members = new ArrayList<>();
    private final List<Processes.RouterAddress> routers = new ArrayList<>();
    private final Set<String> outputs = ConcurrentHashMap.newKeySet();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger falselyComplete = new AtomicInteger();

    private RebornEngine(Path folder, Path recordPath) throws IOException {
        this.folder = folder;
        this.record = new Record(recordPath);
        this.processes = new Processes(folder);
        this.store = new Store(InetAddress.getByName(host));
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
        store.put("op", "config", Wire.get("configuration").replace("%VERSION%", "7"));
        for (int i = 0; i < ENGINES; i++) {
            members.add(new Member(i));
        }
        Threads.start("beats", this::beat);
        int peerPort = Processes.freePort(host);
        for (int i = 0; i < 2; i++) {
            String routerHost = host.substring(0, host.length() - 1) + (2 + i);
            routers.add(Processes.RouterAddress.of("router-" + (i + 1), "zone-a", routerHost, peerPort));
        }
        for (Processes.RouterAddress router : routers) {
            processes.startRouter(router, store.address(), seeds());
        }
        for (Processes.RouterAddress router : routers) {
            awaitReady(router);
        }
        Thread.sleep(1500);
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
        processes.endAll();
        outputs.stream().sorted().forEach(name -> record.addOutput(name, folder.resolve(name + ".log")));
        String verdict = "whole " + whole + ", failed or cut " + failed + ", looked complete and were not "
                + falselyComplete;
        record.add(verdict);
        System.out.println(verdict);
        if (whole.get() < LENGTH_SECONDS * REQUESTS_PER_SECOND / 2) {
            return 2;
        }
        return falselyComplete.get() > 0 ? 1 : 0;
    }

    private List<String> seeds() {
        return routers.stream().map(router -> router.host() + ":" + router.directoryPort()).toList();
    }

    private static void awaitReady(Processes.RouterAddress router) throws IOException, InterruptedException {
        for (int i = 0; i < 200; i++) {
            HttpURLConnection page = (HttpURLConnection) URI.create(
                            "http://" + router.host() + ":" + router.readyPort() + Wire.get("path.ready"))
                    .toURL()
                    .openConnection();
            try {
                if (page.getResponseCode() == 200) {
                    return;
                }
            } catch (IOException e) {
                // The router does not listen yet.
            }
            Thread.sleep(100);
        }
        throw new IOException(router.name() + " is not ready after 20 s");
    }

    private void request(int number) {
        Processes.RouterAddress router = routers.get(number % routers.size());
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
            Member member = members.get(i);
            long startNanos = System.nanoTime();
            record.add("cut off " + member.id);
            member.link.cut();
            Thread.sleep(700);
            record.add("crash of " + member.id);
            member.crash();
            Thread.sleep(1000);
            member.start();
            record.add("started again behind the cut as " + member.id);
            Thread.sleep(CUT_MILLIS - (System.nanoTime() - startNanos) / 1_000_000);
            member.link.heal(member.port);
            member.reachesStore = true;
            record.add("cut healed");
            Thread.sleep(CUT_INTERVAL_SECONDS * 1000L - CUT_MILLIS);
        }
    }

    private void beat() throws InterruptedException {
        while (true) {
            members.forEach(Member::beat);
            Thread.sleep(BEAT_MILLIS / 4);
        }
    }

    /** Engine with its link, its process and its entry in the store. */
    private final class Member {

        private final int number;
        private final Link link;
        private int boots;
        private int port;
        private String id;
        private Process process;
        private long bornMillis;
        private boolean reachesStore = true;
        private int sequence;
        private String listedId = "";
        private long beatNanos;

        private Member(int number) throws IOException {
            this.number = number;
            start();
            this.link = new Link(InetAddress.getByName(host), port);
        }

        private void start() throws IOException {
            boots++;
            port = Processes.freePort(host);
            id = "e" + number + "-" + boots;
            bornMillis = System.currentTimeMillis();
            String name = "engine-" + id;
            process = processes.startStandIn(name, List.of("Engine", host, Integer.toString(port), id));
            outputs.add(name);
        }

        private void crash() throws InterruptedException {
            reachesStore = false;
            process.destroyForcibly().waitFor();
        }

        /** Writes the entry as the engine does, and lets it lapse after three heartbeats of silence. */
        private void beat() {
            long sinceBeatMillis = (System.nanoTime() - beatNanos) / 1_000_000;
            if (reachesStore && (sinceBeatMillis >= BEAT_MILLIS || !listedId.equals(id))) {
                if (!listedId.isEmpty() && !listedId.equals(id)) {
                    store.remove("servers", listedId);
                }
                beatNanos = System.nanoTime();
                listedId = id;
                long cold = boots == 1 ? 0 : Math.max(0, bornMillis + COLD_MILLIS - System.currentTimeMillis());
                store.put(
                        "servers",
                        id,
                        Wire.get("engine.row")
                                .replace("%SERVICE%", "models")
                                .replace("%ADDRESS%", link.address())
                                .replace("%ZONE%", "zone-a")
                                .replace("%SLOTS%", "64")
                                .replace("%STATE%", "ready")
                                .replace("%COLD%", Long.toString(cold))
                                .replace("%SEQUENCE%", Integer.toString(++sequence))
                                .replace("%BORN%", Long.toString(bornMillis)));
            } else if (!reachesStore && !listedId.isEmpty() && sinceBeatMillis >= LAPSE_MILLIS) {
                store.remove("servers", listedId);
                listedId = "";
            }
        }
    }
}
