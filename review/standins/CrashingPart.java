import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A part of a prompt crashes each engine that begins to answer it; several routers, many tenants. */
final class CrashingPart {

    private static final int ROUTERS = Integer.getInteger("routers", 8);
    private static final int TENANTS = Integer.getInteger("tenants", 60);
    private static final int ENGINES = 8;
    private static final int ROUND_MILLIS = 6_000;
    private static final int INTERVAL_MILLIS = 600;
    private static final int DEADLY_REQUESTS = 50;
    private static final int PREFILL_MILLIS = 60;
    private static final int RESTART_MILLIS = 2_000;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int PERMITTED_LATE = 3;
    private static final String DEADLY_PART = "dead0001";
    private static final List<String> SERVICES = List.of("huvo11a", "huvo11b");

    private final Deployment deployment;
    private final Journal journal;
    private final ModelFleet fleet;
    private final List<Long> crashNanos = new ArrayList<>();
    private final List<Long> arrivalNanos = new ArrayList<>();
    private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
    private final AtomicInteger requestNumber = new AtomicInteger();

    private CrashingPart(Deployment deployment) {
        this.deployment = deployment;
        this.journal = deployment.journal;
        this.fleet = new ModelFleet(deployment, PREFILL_MILLIS, RESTART_MILLIS, this::isDeadly, this::recordCrash);
    }

    public static void main(String[] arguments) throws Exception {
        new CrashingPart(new Deployment(arguments)).run();
    }

    private synchronized boolean isDeadly(HttpMessage request) {
        boolean deadly = request.header(Wire.PROMPT_PARTS).contains(DEADLY_PART);
        if (deadly) {
            arrivalNanos.add(System.nanoTime());
        }
        return deadly;
    }

    private synchronized void recordCrash() {
        crashNanos.add(System.nanoTime());
    }

    private void run() throws Exception {
        fleet.configure(SERVICES, TENANTS);
        for (int i = 0; i < ENGINES; i++) {
            for (String service : SERVICES) {
                fleet.startEngine(service);
            }
        }
        List<Router> routers = new ArrayList<>();
        for (int i = 1; i <= ROUTERS; i++) {
            Router router = deployment.router(i);
            router.start();
            routers.add(router);
        }
        for (Router router : routers) {
            router.awaitReady();
        }
        for (int i = 0; i < TENANTS; i++) {
            int tenant = i;
            Threads.start("tenant-" + tenant, () -> sendSoundRequests(routers, tenant));
        }
        Threads.sleep(2 * ROUND_MILLIS);
        journal.write("case", "requests with part " + DEADLY_PART + (deployment.trouble ? " begin" : " are left out"));
        for (int i = 0; i < DEADLY_REQUESTS; i++) {
            if (deployment.trouble) {
                Router router = routers.get(i % ROUTERS);
                String id = "deadly-" + i;
                String parts = "f1:800," + DEADLY_PART + ":400," + id + ":250";
                Threads.start(
                        id,
                        () -> journal.write(
                                id, "answer: " + ModelFleet.send(router, SERVICES.get(0), id, 0, parts)));
            }
            Threads.sleep(INTERVAL_MILLIS);
        }
        Threads.sleep(1000);
        new TreeMap<>(answers).forEach((answer, count) -> journal.write("sound", count + " x " + answer));
        int served = answers.entrySet().stream()
                .filter(entry -> entry.getKey().endsWith(" 200"))
                .mapToInt(entry -> entry.getValue().get())
                .sum();
        int answered = answers.values().stream().mapToInt(AtomicInteger::get).sum();
        deployment.requireServed(served, answered);
        for (Router router : routers) {
            if (!router.alive()) {
                System.out.println("a router has ended");
                System.exit(2);
            }
        }
        judge();
    }

    private synchronized void judge() {
        int late = 0;
        if (crashNanos.size() >= 5) {
            long bound = crashNanos.get(4) + CONTACT_MILLIS * 1_000_000L;
            late = (int) arrivalNanos.stream().filter(nanos -> nanos > bound).count();
        }
        deployment.finish(
                late > PERMITTED_LATE,
                crashNanos.size() + " crashes; " + late + " requests with the part reached engines later than "
                        + CONTACT_MILLIS + " ms after the fifth");
    }

    private void sendSoundRequests(List<Router> routers, int tenant) {
        Threads.sleep(ROUND_MILLIS * (long) tenant / TENANTS);
        while (true) {
            for (Router router : routers) {
                for (String service : SERVICES) {
                    String id = "sound-" + requestNumber.incrementAndGet();
                    String parts = "f1:800,s" + tenant + ":400," + id + ":250";
                    Threads.start(id, () -> {
                        String answer = ModelFleet.send(router, service, id, tenant, parts);
                        answers.computeIfAbsent(service + " " + answer, key -> new AtomicInteger()).incrementAndGet();
                    });
                }
                Threads.sleep(ROUND_MILLIS / ROUTERS);
            }
        }
    }
}
