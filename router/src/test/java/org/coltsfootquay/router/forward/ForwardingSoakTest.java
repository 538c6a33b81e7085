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
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;

/**
 * Plays callers on kept connections against engines that leave, pause, restart, crash and spoil responses, some of them
 * because of a part of a prompt, or send second responses, while the router stops and starts again.
 *
 * <p>A seed determines the faults; their order in time also depends on the threads. The system properties {@code
 * soak.seeds} and {@code soak.seconds} make it longer; {@code soak.firstSeed} starts it at another seed.
 */
final class ForwardingSoakTest {

    private static final Logger LOG = Logger.getLogger(ForwardingSoakTest.class);
    private static final int FIRST_SEED = Integer.getInteger("soak.firstSeed", 1);
    private static final int SEEDS = Integer.getInteger("soak.seeds", 2);
    private static final int SECONDS = Integer.getInteger("soak.seconds", 8);
    private static final int ENGINES = 5;
    private static final int CALLERS = 16;
    private static final double FAULT_RATE = 0.15;
    private static final double STUTTER_RATE = 0.1;
    private static final double ONE_SHOT_RATE = 0.1;
    private static final double DEADLY_RATE = 0.01;

    /** Crashes by a part that the platform allows until the part is known. */
    private static final int MAX_DEADLY_CRASHES = 5;

    /** Time in which the part must be known after that many crashes, and requests that may arrive later. */
    private static final Duration KNOWLEDGE_TIME = Duration.ofSeconds(3);

    private static final int MAX_LATE_DEADLY_REQUESTS = 3;
    private static final int GROUPS = 8;

    /** Time after which a request counts as one that waited until its deadline. */
    private static final Duration NEAR_DEADLINE = Duration.ofMillis(2900);

    /** Steps of half a second after which the router stops. */
    private static final int RESTART_STEPS = 6;

    private static final Duration STOP_TIME = Duration.ofMillis(1200);
    private static final Duration ADDRESS_TIME = Duration.ofMillis(100);
    private static final List<String> PATHS = List.of("/once/", "/safe/", "/stream/", "/resume/");

    @Test
    void guaranteesHoldBesideFaultyEngines() throws Exception {
        play(0);
    }

    /** Callers got a success where the engine had answered with an error, after a part of a second response. */
    @Test
    void guaranteesHoldBesideStutteringEngines() throws Exception {
        play(STUTTER_RATE);
    }

    private static void play(double stutterRate) throws Exception {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            try (Run run = new Run(seed, stutterRate)) {
                run.play();
                run.check();
            }
        }
    }

    private static final class Run implements AutoCloseable {

        private final long seed;
        private final double stutterRate;
        private final Random random;
        private final AnswerCheck answers = new AnswerCheck();
        private volatile ForwardingFixture fixture = new ForwardingFixture().withConfiguration();
        private final List<EmulatedEngine> engines = new ArrayList<>();
        private final Map<Integer, EmulatedEngine> current = new HashMap<>();
        private final Map<Integer, String> names = new HashMap<>();
        private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
        private final ConcurrentLinkedQueue<String> refused = new ConcurrentLinkedQueue<>();
        private final ConcurrentLinkedQueue<String> withoutResponse = new ConcurrentLinkedQueue<>();
        private final ConcurrentLinkedQueue<String> atMostOnce = new ConcurrentLinkedQueue<>();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger requests = new AtomicInteger();
        private final AtomicInteger atDeadline = new AtomicInteger();
        private final AtomicInteger answeredAtDeadline = new AtomicInteger();
        private final AtomicBoolean stopped = new AtomicBoolean();

        private Run(long seed, double stutterRate) throws Exception {
            this.seed = seed;
            this.stutterRate = stutterRate;
            this.random = new Random(seed);
            for (int i = 0; i < ENGINES; i++) {
                startEngine(i);
            }
        }

        private void startEngine(int slot) throws Exception {
            EmulatedEngine engine = new EmulatedEngine(
                    String.valueOf(engines.size()), random.nextLong(), FAULT_RATE, stutterRate, answers);
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
                    boolean oneShot = callerRandom.nextDouble() < ONE_SHOT_RATE;
                    long startNanos = System.nanoTime();
                    KeptConnection.Response response = oneShot
                            ? connection.callOnce("POST", path + id, id, parts)
                            : connection.call("POST", path + id, id, parts);
                    countDeadline(path + id, id, response, System.nanoTime() - startNanos);
                    checkResponse(path, id, response);
                    if (connection.takeSurplus()) {
                        violations.add("MIXED: " + path + id + " got bytes after " + response);
                    }
                    if (!deadly && response.status() == 400) {
                        violations.add("DENIED: " + path + id + " got " + response.body());
                    }
                }
            } catch (IOException | RuntimeException e) {
                violations.add("caller " + prefix + " failed: " + e);
            }
        }

        /** Counts requests that waited until their deadline, and those of them which an engine had answered. */
        private void countDeadline(String path, String id, KeptConnection.Response response, long elapsedNanos) {
            requests.incrementAndGet();
            if (elapsedNanos < NEAR_DEADLINE.toNanos()) {
                return;
            }
            boolean answered = answers.isAnswered(id);
            atDeadline.incrementAndGet();
            if (answered) {
                answeredAtDeadline.incrementAndGet();
            }
            LOG.infof(
                    "event=deadline_reached path=%s status=%d complete=%s elapsedMs=%d answered=%s",
                    path,
                    response.status(),
                    response.complete(),
                    Duration.ofNanos(elapsedNanos).toMillis(),
                    answered);
        }

        private void checkResponse(String path, String id, KeptConnection.Response response) {
            List<String> mistakes = answers.violations(path, id, response);
            violations.addAll(mistakes);
            if (response.status() == 0) {
                withoutResponse.add(id);
            }
            if (response.status() == 503) {
                refused.add(id);
            }
            if (response.status() == 200 && response.complete() && mistakes.isEmpty()) {
                served.incrementAndGet();
            }
        }

        private void check() {
            int secondResponses = 0;
            Map<String, Integer> executions = new HashMap<>();
            for (EmulatedEngine engine : engines) {
                violations.addAll(engine.violations);
                secondResponses += engine.secondResponses.get();
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
            LOG.infof(
                    "event=soak_done seed=%d stutterRate=%s requests=%s served=%s secondResponses=%d atDeadline=%s"
                            + " answeredAtDeadline=%s violations=%d",
                    seed,
                    stutterRate,
                    requests,
                    served,
                    secondResponses,
                    atDeadline,
                    answeredAtDeadline,
                    violations.size());
            assertEquals(Collections.emptyList(), List.copyOf(violations), "seed " + seed);
            assertTrue(stutterRate == 0 || secondResponses > 0, "seed " + seed + ": no engine stuttered");
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
