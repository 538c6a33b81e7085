import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Small deployment: the store, routers and the engines of one service, all on loopback addresses. */
final class Fleet {

    static final int BEAT_MILLIS = 1200;

    private static final int LAPSE_MILLIS = 3 * BEAT_MILLIS;
    private static final int COLD_MILLIS = 3000;

    final Store store;
    final List<Processes.RouterAddress> routers = new ArrayList<>();
    final List<Member> members = new ArrayList<>();
    final Processes processes;
    /** Current process of each router. */
    final List<Process> routerProcesses = new ArrayList<>();

    /** Times at which engines have ended, of those that start again by themselves. */
    final List<Long> crashNanos = new CopyOnWriteArrayList<>();

    private volatile boolean ended;

    private final Path folder;
    private final Record record;
    private final String service;
    private final int slots;
    private final String host =
            "127." + (20 + System.nanoTime() / 1000 % 200) + "." + (1 + System.nanoTime() % 200) + ".1";
    private final Set<String> outputs = ConcurrentHashMap.newKeySet();

    /**
     * Creates a deployment without engines and routers.
     *
     * @param folder folder for settings and the output of processes
     * @param record record of the case
     * @param service service of the engines
     * @param slots requests that an engine processes at once
     */
    Fleet(Path folder, Record record, String service, int slots) throws IOException {
        this.folder = folder;
        this.record = record;
        this.service = service;
        this.slots = slots;
        this.processes = new Processes(folder);
        this.store = new Store(InetAddress.getByName(host));
        store.put("op", "config", Wire.get("configuration").replace("%VERSION%", "7"));
        Threads.start("beats", this::beat);
    }

    /** Starts engines that have been up for long, so that they are not cold. */
    void startEngines(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            addEngine(0).wasUpBefore = true;
        }
    }

    /** Starts one more engine, whose clock is ahead by the given time. */
    Member addEngine(long clockAheadMillis) throws IOException {
        Member member = new Member(members.size());
        member.start("e" + members.size() + "-1", clockAheadMillis);
        // The beats begin once the engine is a member.
        member.link = new Link(InetAddress.getByName(host), member.port);
        members.add(member);
        return member;
    }

    /** Starts engines without links, which have been up for long; each is back after some time whenever it ends. */
    void startCrashingEngines(int count, long downMillis) throws IOException {
        for (int i = 0; i < count; i++) {
            Member member = new Member(i);
            member.start("e" + i + "-1", 0);
            member.wasUpBefore = true;
            members.add(member);
            Threads.start("engine " + i, () -> member.restartAfterEnds(downMillis));
        }
    }

    /** Starts the routers and waits until they are ready. */
    void startRouters(int count) throws IOException, InterruptedException {
        int peerPort = Processes.freePort(host);
        for (int i = 0; i < count; i++) {
            String routerHost = host.substring(0, host.length() - 1) + (2 + i);
            routers.add(Processes.RouterAddress.of("router-" + (i + 1), "zone-a", routerHost, peerPort));
        }
        List<String> seeds = routers.stream()
                .map(router -> router.host() + ":" + router.directoryPort())
                .toList();
        for (Processes.RouterAddress router : routers) {
            routerProcesses.add(processes.startRouter(router, store.address(), seeds));
        }
        for (Processes.RouterAddress router : routers) {
            awaitReady(router);
        }
        Thread.sleep(1500);
    }

    /** Starts the process of a router once more, as the platform does after its end. */
    void restartRouter(int number) throws IOException {
        Processes.RouterAddress router = routers.get(number);
        routerProcesses.set(number, processes.startRouter(router, store.address(), List.of()));
    }

    /** Ends all processes and adds what the engines have run to the record. */
    void end() {
        ended = true;
        processes.endAll();
        outputs.stream().sorted().forEach(name -> record.addOutput(name, folder.resolve(name + ".log")));
    }

    /** Returns the lines in which the boots of an engine have told what they run. */
    List<String> runsOf(String id) throws IOException {
        return Files.readAllLines(folder.resolve("engine-" + id + ".log")).stream()
                .filter(line -> line.startsWith("run "))
                .toList();
    }

    /** Returns the lines in which all engines have told what they run. */
    List<String> runs() throws IOException {
        List<String> lines = new ArrayList<>();
        for (String name : outputs) {
            Files.readAllLines(folder.resolve(name + ".log")).stream()
                    .filter(line -> line.startsWith("run "))
                    .forEach(lines::add);
        }
        return lines;
    }

    /** Returns the time of day of a crash, counted from 1; the end of time if there were fewer. */
    long crashMillis(int number) {
        if (crashNanos.size() < number) {
            return Long.MAX_VALUE / 2;
        }
        long agoMillis = (System.nanoTime() - crashNanos.get(number - 1)) / 1_000_000;
        return System.currentTimeMillis() - agoMillis;
    }

    static void awaitReady(Processes.RouterAddress router) throws IOException, InterruptedException {
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

    private void beat() throws InterruptedException {
        while (true) {
            for (Member member : List.copyOf(members)) {
                member.beat();
            }
            Thread.sleep(BEAT_MILLIS / 6);
        }
    }

    /** Engine with its link, its process and its entry in the store. */
    final class Member {

        private final int number;

        /** Link to the engine; null if it is reached directly. */
        Link link;

        String id;
        int port;

        private Process process;
        private long bornMillis;
        private long startedNanos;
        private boolean wasUpBefore;
        private String state = "ready";
        private boolean reachesStore = true;
        private int sequence;
        private String listedId = "";
        private long beatNanos;

        private Member(int number) {
            this.number = number;
        }

        /** Starts a new boot of the engine under an id; its clock is ahead by the given time. */
        synchronized void start(String newId, long clockAheadMillis) throws IOException {
            port = Processes.freePort(host);
            id = newId;
            wasUpBefore = false;
            sequence = 0;
            bornMillis = System.currentTimeMillis() + clockAheadMillis;
            startedNanos = System.nanoTime();
            beatNanos = 0;
            String name = "engine-" + id;
            process = processes.startStandIn(
                    name, List.of("Engine", host, Integer.toString(port), id, leavingFile().toString()));
            outputs.add(name);
            awaitListening();
        }

        /** Waits until the engine accepts channels, since it announces itself only then. */
        private void awaitListening() throws IOException {
            for (int i = 0; i < 100; i++) {
                try {
                    new Socket(host, port).close();
                    return;
                } catch (IOException e) {
                    sleep(50);
                }
            }
            throw new IOException("engine " + id + " does not listen after 5 s");
        }

        private static void sleep(long millis) {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private Path leavingFile() {
            return folder.resolve("leaving-" + id);
        }

        /** Kills the engine; it says nothing to the store until {@link #reachStore()}. */
        void crash() throws InterruptedException {
            synchronized (this) {
                reachesStore = false;
            }
            process.destroyForcibly().waitFor();
        }

        private void restartAfterEnds(long downMillis) throws IOException, InterruptedException {
            for (int boot = 2; !ended; boot++) {
                process.waitFor();
                crashNanos.add(System.nanoTime());
                record.add("engine " + id + " has ended");
                synchronized (this) {
                    reachesStore = false;
                }
                Thread.sleep(downMillis);
                if (!ended) {
                    start("e" + number + "-" + boot, 0);
                    reachStore();
                }
            }
        }

        synchronized void reachStore() {
            reachesStore = true;
            beat();
        }

        /** Announces that the engine leaves; returns when the store has accepted that. */
        synchronized void drain() throws IOException {
            Files.createFile(leavingFile());
            state = "draining";
            beatNanos = 0;
            beat();
        }

        /** Removes the entry of the engine and ends it. */
        synchronized void leave() {
            reachesStore = false;
            store.remove("servers", listedId);
            listedId = "";
            process.destroyForcibly();
        }

        /** Writes the entry as the engine does, and lets it lapse after three heartbeats of silence. */
        private synchronized void beat() {
            long sinceBeatMillis = (System.nanoTime() - beatNanos) / 1_000_000;
            if (reachesStore && (beatNanos == 0 || sinceBeatMillis >= BEAT_MILLIS)) {
                if (!listedId.isEmpty() && !listedId.equals(id)) {
                    store.remove("servers", listedId);
                }
                beatNanos = System.nanoTime();
                listedId = id;
                long upMillis = (System.nanoTime() - startedNanos) / 1_000_000;
                long coldMillis = wasUpBefore ? 0 : Math.max(0, COLD_MILLIS - upMillis);
                store.put(
                        "servers",
                        id,
                        Wire.get("engine.row")
                                .replace("%SERVICE%", service)
                                .replace("%ADDRESS%", link == null ? host + ":" + port : link.address())
                                .replace("%ZONE%", "zone-a")
                                .replace("%SLOTS%", Integer.toString(slots))
                                .replace("%STATE%", state)
                                .replace("%COLD%", Long.toString(service.equals("models") ? coldMillis : 0))
                                .replace("%SEQUENCE%", Integer.toString(++sequence))
                                .replace("%BORN%", Long.toString(bornMillis)));
            } else if (!reachesStore && !listedId.isEmpty() && sinceBeatMillis >= LAPSE_MILLIS) {
                store.remove("servers", listedId);
                listedId = "";
            }
        }
    }
}
