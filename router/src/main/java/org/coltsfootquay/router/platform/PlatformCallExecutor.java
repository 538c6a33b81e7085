package org.coltsfootquay.router.platform;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.StoreException.Kind;
import org.coltsfootquay.router.backend.BackendClient;
import org.coltsfootquay.router.backend.BackendRequest;
import org.coltsfootquay.router.log.EventLog;

/**
 * Sends calls to the platform with a limit on the calls in flight, a timeout for each call, and retries of reads.
 *
 * <p>Thread-safe. Callbacks run on the callback executor, normally the control thread.
 */
final class PlatformCallExecutor {

    private static final EventLog LOG = EventLog.of(PlatformCallExecutor.class);
    private static final byte[] NO_BODY = new byte[0];

    /**
     * A call with less than the timeout divided by this number left is not sent: a response is unlikely to arrive in
     * time, whereas the outcome of a write that was not sent is known.
     */
    private static final int MIN_REMAINING_TIMEOUT_DIVISOR = 10;

    private final PlatformClientSettings settings;
    private final EventLoop eventLoop;
    private final BackendClient httpClient;
    private final Executor callbackExecutor;
    private final RandomGenerator random;
    private final CallLimiter limiter;
    private final LongAdder readRetries = new LongAdder();
    private final LongAdder unknownWrites = new LongAdder();

    PlatformCallExecutor(
            PlatformClientSettings settings,
            EventLoop eventLoop,
            BackendClient httpClient,
            Executor callbackExecutor,
            RandomGenerator random) {
        this.settings = settings;
        this.eventLoop = eventLoop;
        this.httpClient = httpClient;
        this.callbackExecutor = callbackExecutor;
        this.random = random;
        this.limiter = new CallLimiter(settings.maxInFlight(), settings.maxWaiting());
    }

    /** Decodes a response into a value. */
    @FunctionalInterface
    interface Decoder<T> {

        /**
         * Decodes a response that is not a temporary failure, normally with status 200, 204, 404 or 409.
         *
         * @throws StoreException if the row or object does not exist or the response is malformed
         */
        T decode(PlatformReply reply) throws StoreException;
    }

    long readRetries() {
        return readRetries.sum();
    }

    long unknownWrites() {
        return unknownWrites.sum();
    }

    /** Sends a write at most once; a write with an unknown outcome is reported and never retried. */
    void write(String method, String path, byte[] body, Consumer<PlatformReply> callback) {
        startAttempt(method, path, body, deadlineNanos(), reply -> {
            if (reply.kind() == PlatformReply.Kind.LOST) {
                unknownWrites.increment();
            }
            if (reply.kind() != PlatformReply.Kind.ANSWERED) {
                LOG.warn("platform_write_failed", "path", path, "outcome", reply.kind(), "cause", reply.message());
            }
            runCallback(() -> callback.accept(reply));
        });
    }

    /** Sends a read and retries it within the timeout of the call. */
    <T> void read(String path, Decoder<T> decoder, Consumer<Either<StoreException, T>> callback) {
        new RetryingRead<>(path, decoder, callback).start();
    }

    void close() {
        limiter.close().forEach(attempt -> attempt.abort("the platform client is closed"));
        httpClient.close();
    }

    private long deadlineNanos() {
        return System.nanoTime() + settings.callTimeout().toNanos();
    }

    private void runCallback(Runnable callback) {
        try {
            callbackExecutor.execute(callback);
        } catch (RejectedExecutionException e) {
            LOG.warn(
                    "platform_callback_dropped",
                    "cause",
                    "the callback executor rejected the task because it was shut down");
        }
    }

    private void startAttempt(
            String method, String path, byte[] body, long deadlineNanos, Consumer<PlatformReply> callback) {
        PlatformCallAttempt attempt = new PlatformCallAttempt(method, path, body, deadlineNanos, (ended, reply) -> {
            limiter.release(ended).ifPresent(this::send);
            callback.accept(reply);
        });
        CallLimiter.Admission admission = limiter.admit(attempt);
        if (admission == CallLimiter.Admission.CLOSED || admission == CallLimiter.Admission.FULL) {
            attempt.abort(
                    admission == CallLimiter.Admission.FULL
                            ? "too many calls to the platform are queued; reduce the call rate"
                            : "the platform client is closed");
            return;
        }
        var unused = eventLoop.schedule(
                () -> attempt.abort(
                        "no response within " + settings.callTimeout().toMillis() + " ms"),
                deadlineNanos - System.nanoTime(),
                TimeUnit.NANOSECONDS);
        if (admission == CallLimiter.Admission.SEND) {
            send(attempt);
        }
    }

    private void send(PlatformCallAttempt attempt) {
        long remainingNanos = attempt.deadlineNanos() - System.nanoTime();
        if (remainingNanos < settings.callTimeout().toNanos() / MIN_REMAINING_TIMEOUT_DIVISOR) {
            attempt.abort("the call was queued until too little of its timeout was left");
            return;
        }
        Duration remaining = Duration.ofNanos(remainingNanos);
        Map<String, String> headers =
                attempt.method().equals("POST") ? Map.of("content-type", "application/json") : Map.of();
        attempt.setBackendCall(httpClient.send(
                eventLoop,
                new BackendRequest(
                        settings.address(),
                        attempt.method(),
                        attempt.path(),
                        headers,
                        attempt.requestBody(),
                        remaining,
                        remaining),
                attempt));
    }

    /** Read that is retried after a temporary failure. */
    private final class RetryingRead<T> {

        private final String path;
        private final Decoder<T> decoder;
        private final Consumer<Either<StoreException, T>> callback;
        private final long deadlineNanos = deadlineNanos();
        private int attempts;

        private RetryingRead(String path, Decoder<T> decoder, Consumer<Either<StoreException, T>> callback) {
            this.path = path;
            this.decoder = decoder;
            this.callback = callback;
        }

        private void start() {
            attempts++;
            startAttempt("GET", path, NO_BODY, deadlineNanos, this::attemptEnded);
        }

        private void attemptEnded(PlatformReply reply) {
            boolean temporary =
                    reply.kind() != PlatformReply.Kind.ANSWERED || reply.status() >= 500 || reply.isThrottled();
            if (temporary && attempts < settings.readAttempts()) {
                long delayNanos = backoffNanos();
                if (System.nanoTime() + delayNanos - deadlineNanos < 0) {
                    readRetries.increment();
                    var unused = eventLoop.schedule(this::start, delayNanos, TimeUnit.NANOSECONDS);
                    return;
                }
            }
            Either<StoreException, T> result = temporary ? Either.left(toException(reply)) : decode(reply);
            runCallback(() -> callback.accept(result));
        }

        /** Returns a backoff with full jitter, so that routers whose reads failed together do not retry together. */
        private long backoffNanos() {
            long maxNanos = settings.initialBackoff().toNanos() << Math.min(attempts - 1, 20);
            return random.nextLong(Math.min(maxNanos, settings.maxBackoff().toNanos()) + 1);
        }

        private Either<StoreException, T> decode(PlatformReply reply) {
            try {
                return Either.right(decoder.decode(reply));
            } catch (StoreException e) {
                return Either.left(e);
            }
        }

        private StoreException toException(PlatformReply reply) {
            Kind kind = reply.isThrottled() ? Kind.THROTTLED : Kind.UNREACHABLE;
            return new StoreException(
                    kind,
                    "cannot read " + path + " from the platform at " + settings.address() + " (" + reply.describe()
                            + " after " + attempts + " attempts); the next poll reads again");
        }
    }
}
