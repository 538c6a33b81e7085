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
 * Calls to the platform with a bound on the calls in flight, a timeout for each call, and retries of reads.
 *
 * <p>Thread-safe. Outcomes are delivered on the executor of the control thread.
 */
final class PlatformCallExecutor {

    private static final EventLog LOG = EventLog.of(PlatformCallExecutor.class);
    private static final byte[] NO_BODY = new byte[0];

    /**
     * A call with less than this part of its timeout left is not sent: an answer is unlikely to come in time, and the
     * outcome of a write that was not sent is known.
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
            BackendClient http,
            Executor callbacks,
            RandomGenerator random) {
        this.settings = settings;
        this.eventLoop = eventLoop;
        this.httpClient = http;
        this.callbackExecutor = callbacks;
        this.random = random;
        this.limiter = new CallLimiter(settings.maxInFlight(), settings.maxWaiting());
    }

    /** Turns an answer into a value. */
    @FunctionalInterface
    interface Decoder<T> {

        /**
         * Decodes an answer with status 200, 204, 404 or 409.
         *
         * @throws StoreException if the row or object does not exist or the answer is malformed
         */
        T decode(PlatformReply reply) throws StoreException;
    }

    long readRetries() {
        return readRetries.sum();
    }

    long unknownWrites() {
        return unknownWrites.sum();
    }

    /** Writes once; an unknown outcome is reported and never repeated. */
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

    /** Reads, with retries within the timeout of the call. */
    <T> void read(String path, Decoder<T> decoder, Consumer<Either<StoreException, T>> callback) {
        new RetryingRead<>(path, decoder, callback).start();
    }

    void close() {
        limiter.close().forEach(attempt -> attempt.abort("the client is closed"));
        httpClient.close();
    }

    private long deadlineNanos() {
        return System.nanoTime() + settings.callTimeout().toNanos();
    }

    private void runCallback(Runnable callback) {
        try {
            callbackExecutor.execute(callback);
        } catch (RejectedExecutionException e) {
            LOG.warn("platform_callback_dropped", "cause", "the executor of callbacks has ended");
        }
    }

    private void startAttempt(
            String method, String path, byte[] body, long deadlineNanos, Consumer<PlatformReply> callback) {
        PlatformCallAttempt attempt = new PlatformCallAttempt(method, path, body, deadlineNanos, (ended, reply) -> {
            limiter.release(ended).ifPresent(this::send);
            callback.accept(reply);
        });
        CallLimiter.Admission entry = limiter.admit(attempt);
        if (entry == CallLimiter.Admission.CLOSED || entry == CallLimiter.Admission.FULL) {
            attempt.abort(
                    entry == CallLimiter.Admission.FULL
                            ? "too many calls wait for the platform; call less often"
                            : "the client is closed");
            return;
        }
        var unused = eventLoop.schedule(
                () -> attempt.abort(
                        "no answer within " + settings.callTimeout().toMillis() + " ms"),
                deadlineNanos - System.nanoTime(),
                TimeUnit.NANOSECONDS);
        if (entry == CallLimiter.Admission.SEND) {
            send(attempt);
        }
    }

    private void send(PlatformCallAttempt attempt) {
        long remainingNanos = attempt.deadlineNanos() - System.nanoTime();
        if (remainingNanos < settings.callTimeout().toNanos() / MIN_REMAINING_TIMEOUT_DIVISOR) {
            attempt.abort("too little time was left after waiting for other calls");
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

    /** A read with its retries. */
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
                long pauseNanos = backoffNanos();
                if (System.nanoTime() + pauseNanos - deadlineNanos < 0) {
                    readRetries.increment();
                    var unused = eventLoop.schedule(this::start, pauseNanos, TimeUnit.NANOSECONDS);
                    return;
                }
            }
            Either<StoreException, T> result = temporary ? Either.left(toException(reply)) : decode(reply);
            runCallback(() -> callback.accept(result));
        }

        /** Returns a pause with full jitter, so that routers that failed together do not return together. */
        private long backoffNanos() {
            long bound = settings.initialBackoff().toNanos() << Math.min(attempts - 1, 20);
            return random.nextLong(Math.min(bound, settings.maxBackoff().toNanos()) + 1);
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
