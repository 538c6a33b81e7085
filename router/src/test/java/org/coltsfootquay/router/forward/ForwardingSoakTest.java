package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Plays callers on kept connections against engines that leave, pause, restart, crash and spoil responses, some of them
 * because of a part of a prompt, while the router stops and starts again.
 *
 * <p>A seed determines the faults; their order in time also depends on the threads. The system properties {@code
 * soak.seeds} and {@code soak.seconds} make it longer.
 */
final class ForwardingSoakTest {

    private static final int SEEDS = Integer.getInteger("soak.seeds", 2);
    private static final int SECONDS = Integer.getInteger("soak.seconds", 8);
    private static final int ENGINES = 5;
    private static final int CALLERS = 16;
    private static final double FAULT_RATE = 0.15;
    private static final double DEADLY_RATE = 0.01;

    /** Crashes by a part that the platform allows until the part is known. */
    private static final int MAX_DEADLY_CRASHES = 5;

    /** Time in which the part must be known after that many crashes, and requests that may arrive later. */
    private static final Duration KNOWLEDGE_TIME = Duration.ofSeconds(3);

    private static final int MAX_LATE_DEADLY_REQUESTS = 3;
    private static final int GROUPS = 8;

    /** Steps of half a second after which the router stops. */
    private static final int RESTART_STEPS = 6;

    private static final Duration STOP_TIME = Duration.ofMillis(1200);
    private static final Duration ADDRESS_TIME = Duration.ofMillis(100);
    private static final List<String> PATHS = List.of("/once/", "/safe/", "/stream/", "/resume/");

    @Test
    void guaranteesHoldBesideFaultyEngines() throws Exception {
        for (long seed = 1; seed <= SEEDS; seed++) {
            try (Run run = new Run(seed)) {
                run.play();
                run.check();
            }
        }
    }

    private static final class Run implements AutoCloseable {

        private final long seed;
        private final Random random;
        private volatile ForwardingFixture fixture = new ForwardingFixture().withConfiguration();
        private final List<EmulatedEngine> engines = new ArrayList<>();
        private final Map<Integer, EmulatedEngine> current = new HashMap<>();
        private final Map<Integer, String> names = new HashMap<>();
        private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
        private final ConcurrentLinkedQueue<String> refused = new ConcurrentLinkedQueue<>();
        private final ConcurrentLinkedQueue<String> withoutResponse = new ConcurrentLinkedQueue<>();
        private final ConcurrentLinkedQueue<String> atMostOnce = new ConcurrentLinkedQueue<>();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicBoolean stopped = new AtomicBoolean();

        private Run(long seed) throws Exception {
            this.seed = seed;
            this.random = new Random(seed);
            for (int i = 0; i < ENGINES; i++) {
                startEngine(i);
            }
        }

        private void startEngine(int slot) throws Exception {
            EmulatedEngine engine = new EmulatedEngine(random.nextLong(), FAULT_RATE);
            engines.add(engine);
            current.put(slot, engine);
            names.put(slot, fixture.registerServer(engine.address()));
        }

        private void play() throws Exception {
            ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
            List<Future<?>> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                String prefix = seed + "-" + i + "-";
                long callerSeed = random.nextLong();
                callers.add(threads.submit(() -> sendRequests(prefix, new Random(callerSeed))));
            }
            for (int step = 0; step < SECONDS * 2; step++) {
                Thread.sleep(250);
                int slot = random.nextInt(ENGINES);
                current.get(slot).leave();
                Thread.sleep(250);
                // The registration of a leaving engine disappears later than its first notice.
                int replaced = random.nextInt(ENGINES);
                if (random.nextInt(4) == 0) {
                    current.get(replaced).crash();
                }
                fixture.removeServer(names.get(replaced));
                startEngine(replaced);
                replaceCrashed();
                if (step % RESTART_STEPS == RESTART_STEPS - 1) {
                    restartRouter();
                }
            }
            stopped.set(true);
            for (Future<?> caller : callers) {
                caller.get();
            }
            threads.shutdown();
        }

        /** Stops the router as planned and starts another one, which knows nothing, with new engines. */
        private void restartRouter() throws Exception {
            ForwardingFixture old = fixture;
            old.drain(STOP_TIME, ADDRESS_TIME).get();
            old.close();
            fixture = new ForwardingFixture().withConfiguration();
            for (int slot = 0; slot < ENGINES; slot++) {
                startEngine(slot);
            }
        }

        /** Starts an engine in place of each one that a request has crashed. */
        private void replaceCrashed() throws Exception {
            for (int slot = 0; slot < ENGINES; slot++) {
                if (!current.get(slot).deadlyArrivalNanos.isEmpty()) {
                    fixture.removeServer(names.get(slot));
                    startEngine(slot);
                }
            }
        }

        private void sendRequests(String prefix, Random callerRandom) {
            try (KeptConnection connection = new KeptConnection(() -> fixture)) {
                for (int i = 0; !stopped.get(); i++) {
                    String id = prefix + i;
                    String path = PATHS.get(callerRandom.nextInt(PATHS.size()));
                    if (path.equals("/once/") || path.equals("/stream/")) {
                        atMostOnce.add(id);
                    }
                    boolean deadly = path.equals("/resume/") && callerRandom.nextDouble() < DEADLY_RATE;
                    String parts = (deadly ? EmulatedEngine.DEADLY_PART : "group-" + callerRandom.nextInt(GROUPS))
                            + ",own-" + id;
                    KeptConnection.Response response = connection.call("POST", path + id, id, parts);
                    checkResponse(path, id, response);
                    if (!deadly && response.status() == 400) {
                        violations.add("DENIED: " + path + id + " got " + response.body());
                    }
                }
            } catch (IOException | RuntimeException e) {
                violations.add("caller " + prefix + " failed: " + e);
            }
        }

        private void checkResponse(String path, String id, KeptConnection.Response response) {
            if (response.status() == 0) {
                withoutResponse.add(id);
            }
            if (response.status() == 503) {
                refused.add(id);
            }
            if (response.status() != 200) {
                return;
            }
            boolean stream = path.equals("/stream/") || path.equals("/resume/");
            String whole = stream ? events(id) : "body-" + id;
            if (response.complete() && !response.body().equals(whole)) {
                violations.add("MIXED: " + path + id + " got " + response.body());
            } else if (!whole.startsWith(response.body())) {
                violations.add("ORDER: " + path + id + " got " + response.body());
            } else if (response.complete()) {
                served.incrementAndGet();
            }
        }

        private static String events(String id) {
            StringBuilder events = new StringBuilder();
            for (int i = 1; i <= EmulatedEngine.EVENTS; i++) {
                events.append("id: ")
                        .append(i)
                        .append("\ndata: ")
                        .append(id)
                        .append('-')
                        .append(i)
                        .append("\n\n");
            }
            return events.toString();
        }

        private void check() {
            Map<String, Integer> executions = new HashMap<>();
            for (EmulatedEngine engine : engines) {
                violations.addAll(engine.violations);
                engine.executions.forEach((id, count) -> executions.merge(id, count, Integer::sum));
            }
            List<Long> deadly = engines.stream()
                    .flatMap(engine -> engine.deadlyArrivalNanos.stream())
                    .sorted()
                    .toList();
            if (deadly.size() > MAX_DEADLY_CRASHES) {
                long known = deadly.get(MAX_DEADLY_CRASHES - 1) + KNOWLEDGE_TIME.toNanos();
                long late = deadly.stream().filter(time -> time - known > 0).count();
                if (late > MAX_LATE_DEADLY_REQUESTS) {
                    violations.add("BUDGET: " + late + " requests with a part that crashes engines arrived late");
                }
            }
            for (String id : withoutResponse) {
                if (executions.containsKey(id)) {
                    violations.add("LOST: " + id + " was executed and its caller got no response");
                }
            }
            for (String id : refused) {
                if (executions.containsKey(id)) {
                    violations.add("REFUSED: " + id + " was executed");
                }
            }
            for (String id : atMostOnce) {
                if (executions.getOrDefault(id, 0) > 1) {
                    violations.add("TWICE: " + id + " was executed more than once");
                }
            }
            assertEquals(Collections.emptyList(), List.copyOf(violations), "seed " + seed);
            assertTrue(served.get() > 100, "seed " + seed + ": only " + served + " requests were served");
        }

        @Override
        public void close() throws IOException {
            for (EmulatedEngine engine : engines) {
                engine.close();
            }
            fixture.close();
        }
    }
}
