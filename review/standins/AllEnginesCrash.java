import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** All engines of a service crash once and come back; sound requests go on. */
final class AllEnginesCrash {

    private static final String SERVICE = "huvo11a";
    private static final int ENGINES = 6;
    private static final int SUBJECTS = Integer.getInteger("subjects", 1);
    private static final int REQUESTS_PER_SECOND = Integer.getInteger("rate", 40);
    private static final int PREFILL_MILLIS = 300;
    private static final int DOWN_MILLIS = 4_500;
    private static final int BEFORE_MILLIS = 5_000;
    private static final int AFTER_MILLIS = 25_000;

    private final Deployment deployment;
    private final Journal journal;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger denied = new AtomicInteger();
    private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();

    private AllEnginesCrash(Deployment deployment) {
        this.deployment = deployment;
        this.journal = deployment.journal;
    }

    public static void main(String[] arguments) throws Exception {
        new AllEnginesCrash(new Deployment(arguments)).run();
    }

    private void run() throws Exception {
        ModelFleet fleet = new ModelFleet(deployment, PREFILL_MILLIS, DOWN_MILLIS, request -> false, () -> {});
        fleet.configure(java.util.List.of(SERVICE), 16);
        for (int i = 0; i < ENGINES; i++) {
            fleet.startEngine(SERVICE);
        }
        Router router = deployment.router("front-1");
        router.start();
        router.awaitReady();
        long start = System.nanoTime();
        long end = start + (BEFORE_MILLIS + AFTER_MILLIS) * 1_000_000L;
        boolean crashed = !deployment.trouble;
        while (System.nanoTime() < end) {
            if (!crashed && System.nanoTime() - start > BEFORE_MILLIS * 1_000_000L) {
                crashed = true;
                fleet.crashAll();
            }
            int number = requests.incrementAndGet();
            Threads.start("request-" + number, () -> send(router, number));
            Threads.sleep(1000 / REQUESTS_PER_SECOND);
        }
        Threads.sleep(3000);
        if (!router.alive()) {
            System.out.println("the router has ended");
            System.exit(2);
        }
        new TreeMap<>(answers).forEach((answer, count) -> journal.write("answers", count + " x " + answer));
        deployment.requireServed(answers.getOrDefault("200", new AtomicInteger()).get(), requests.get());
        double permitted = 5 + requests.get() / 500.0;
        deployment.finish(
                denied.get() > permitted,
                denied + " of " + requests + " proper requests were ended with a 4xx of the router; permitted are "
                        + (int) permitted);
    }

    private void send(Router router, int number) {
        String id = "request-" + number;
        String parts = "f" + number % SUBJECTS + ":2520," + "s" + number % 32 + ":300," + id + ":250";
        String answer = ModelFleet.send(router, SERVICE, id, number % 16, parts);
        answers.computeIfAbsent(answer, key -> new AtomicInteger()).incrementAndGet();
        if (!answer.equals("200")) {
            journal.write(id, "parts " + parts + ": " + answer);
        }
        // None of these is a refusal that the rule leaves out: 408, 421 and 429.
        if (answer.startsWith("400") || answer.startsWith("401") || answer.startsWith("403")
                || answer.startsWith("404")) {
            denied.incrementAndGet();
        }
    }
}
