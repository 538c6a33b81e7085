package org.coltsfootquay.cli.load;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Runs the loads of several workspaces against a fleet.
 *
 * <p>The number and content of calls follow from the seed; their interleaving follows from real time.
 */
public final class LoadRun implements AutoCloseable {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int PROMPT_CHARS_PER_TOPIC = 200;
    private static final int TOPICS = 20;
    private static final int MAX_SENDS = 4;
    private static final int BOOKINGS_PER_DUPLICATE = 8;

    private final ExecutorService httpThreads = Executors.newFixedThreadPool(4);
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .executor(httpThreads)
            .build();
    private final AddressBook addresses;
    private final ServiceRecorder recorder = new ServiceRecorder();
    private final ConcurrentLinkedQueue<CallResult> results = new ConcurrentLinkedQueue<>();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicLong nextCall = new AtomicLong();
    private final long startNanos = System.nanoTime();
    private final Caller caller;
    private final long seed;
    private final AtomicReference<RuntimeException> failure = new AtomicReference<>();
    private volatile boolean stopped;

    /**
     * Creates a run that has not sent anything yet.
     *
     * @param seeds addresses of routers to ask first, at least one
     * @param seed seed of the calls' content
     */
    public LoadRun(List<String> seeds, long seed) {
        this.addresses = new AddressBook(http, seeds);
        this.caller = new Caller(http, recorder, startNanos);
        this.seed = seed;
    }

    /**
     * Starts the load of a workspace.
     *
     * @param load load
     */
    public void start(WorkspaceLoad load) {
        SplittableRandom random = new SplittableRandom(seed ^ load.workspace().hashCode());
        if (load.outstanding() > 0) {
            for (int i = 0; i < load.outstanding(); i++) {
                SplittableRandom own = random.split();
                schedule(() -> closedLoop(load, own), load.startMillis());
            }
        } else {
            schedule(() -> openLoop(load, random), load.startMillis());
        }
    }

    /** Starts no further calls; calls in flight go on. */
    public void stop() {
        stopped = true;
    }

    /**
     * Waits until no call is in flight.
     *
     * @param timeout longest time to wait
     * @return whether all calls have ended
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitIdle(Duration timeout) throws InterruptedException {
        long end = System.nanoTime() + timeout.toNanos();
        while (inFlight.get() > 0 && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return inFlight.get() == 0;
    }

    /**
     * Returns the results so far.
     *
     * @return results in the order in which the calls ended
     */
    public List<CallResult> results() {
        return new ArrayList<>(results);
    }

    /**
     * Returns the recorder of service and outstanding calls.
     *
     * @return recorder
     */
    public ServiceRecorder recorder() {
        return recorder;
    }

    /**
     * Returns the time since the start of the run.
     *
     * @return milliseconds
     */
    public long elapsedMillis() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns the number of calls in flight.
     *
     * @return calls
     */
    public int inFlight() {
        return inFlight.get();
    }

    /**
     * Returns the fault of the load generator that ended the run early.
     *
     * @return the fault, or empty
     */
    public Optional<RuntimeException> failure() {
        return Optional.ofNullable(failure.get());
    }

    @Override
    public void close() {
        stopped = true;
        scheduler.shutdownNow();
        httpThreads.shutdownNow();
    }

    private boolean isActive(WorkspaceLoad load) {
        return !stopped && elapsedMillis() < load.endMillis();
    }

    private void closedLoop(WorkspaceLoad load, SplittableRandom random) {
        if (isActive(load)) {
            call(load, random, result -> {
                long pauseMillis = result.outcome() == CallOutcome.COMPLETED ? 0 : 50 + random.nextInt(50);
                schedule(() -> closedLoop(load, random), pauseMillis);
            });
        }
    }

    private void openLoop(WorkspaceLoad load, SplittableRandom random) {
        if (isActive(load)) {
            call(load, random.split(), result -> {});
            double waitSeconds = -Math.log(1 - random.nextDouble()) / load.callsPerSecond();
            schedule(() -> openLoop(load, random), (long) (waitSeconds * NANOS_PER_SECOND / NANOS_PER_MILLI));
        }
    }

    private void schedule(Runnable task, long delayMillis) {
        if (!scheduler.isShutdown()) {
            Future<?> unused = scheduler.schedule(() -> guarded(task), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** A failure in a task is a fault of the load generator; it ends the run instead of thinning out the load. */
    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            failure.compareAndSet(null, e);
            stopped = true;
        }
    }

    private void call(WorkspaceLoad load, SplittableRandom random, Consumer<CallResult> then) {
        CallProfile profile = load.profiles().get(random.nextInt(load.profiles().size()));
        boolean booking = profile.type() == CallProfile.Type.BOOKING;
        long number = nextCall.incrementAndGet();
        Caller.Call call = new Caller.Call(
                load,
                profile,
                booking ? "{\"item\": " + number + "}" : prompt(load, profile, random, number),
                profile.tokens(random),
                booking ? Optional.of(load.workspace() + "-" + seed + "-" + number) : Optional.empty());
        List<String> routers = routers(load, random);
        inFlight.incrementAndGet();
        send(call, routers, 0, result -> {
            results.add(result);
            inFlight.decrementAndGet();
            then.accept(result);
        });
        if (booking && number % BOOKINGS_PER_DUPLICATE == 0 && routers.size() > 1) {
            inFlight.incrementAndGet();
            CompletableFuture<Integer> unused =
                    caller.send(routers.get(1), call).handle((result, failure) -> inFlight.decrementAndGet());
        }
    }

    /** Sends a call and, as a well-behaved caller does, tries the next address after a refusal that was not run. */
    private void send(Caller.Call call, List<String> routers, int sends, Consumer<CallResult> then) {
        CompletableFuture<Void> unused = caller.send(routers.get(sends % routers.size()), call)
                .thenAccept(result -> {
                    boolean unreachable = result.outcome() == CallOutcome.CUT && result.firstOutputMillis() < 0;
                    boolean again = unreachable && sends + 1 < MAX_SENDS && !stopped;
                    if (again) {
                        send(call, routers, sends + 1, then);
                    } else {
                        then.accept(result);
                    }
                });
    }

    private List<String> routers(WorkspaceLoad load, SplittableRandom random) {
        List<String> routers = new ArrayList<>(addresses.addresses());
        Collections.shuffle(routers, new Random(random.nextLong()));
        load.preferredAddress().ifPresent(preferred -> {
            if (routers.remove(preferred)) {
                routers.add(0, preferred);
            }
        });
        return routers;
    }

    private static String prompt(WorkspaceLoad load, CallProfile profile, SplittableRandom random, long number) {
        int chars = profile.promptChars(random);
        String topic = load.workspace() + " drawing " + random.nextInt(TOPICS) + " ";
        StringBuilder prompt = new StringBuilder(chars + 40);
        while (prompt.length() < Math.min(chars, PROMPT_CHARS_PER_TOPIC)) {
            prompt.append(topic);
        }
        prompt.append("question ").append(number);
        while (prompt.length() < chars) {
            prompt.append(" terminal ").append(random.nextInt(1000));
        }
        return prompt.toString();
    }
}
