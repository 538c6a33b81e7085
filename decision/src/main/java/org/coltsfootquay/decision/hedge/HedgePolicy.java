package org.coltsfootquay.decision.hedge;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Decides when a request is late and whether it may be sent to a second server; not thread-safe.
 *
 * <p>Work is the prompt tokens to read, and at least one unit. Requests of application servers count one unit each,
 * their mean time.
 */
public final class HedgePolicy {

    /** Smallest delay; a shorter one is within the jitter of timers and networks. */
    public static final Duration MIN_DELAY = Duration.ofMillis(5);

    /** Upper bound of the smallest size class, in prompt tokens. */
    private static final long SMALLEST_CLASS_TOKENS = 256;

    private final HedgingSettings settings;
    private final Map<SizeClass, LatencyQuantile> quantiles = new HashMap<>();
    private final Map<ServiceName, HedgeBudget> budgets = new HashMap<>();

    /**
     * Creates a policy that has learned nothing.
     *
     * @param settings limits
     */
    public HedgePolicy(HedgingSettings settings) {
        this.settings = ArgumentUtils.requireValue(settings, "settings");
    }

    /**
     * Records a request that is sent for the first time.
     *
     * @param service service
     * @param tokens prompt tokens that the server has to read; 0 for application servers
     */
    public void recordRequest(ServiceName service, long tokens) {
        budget(service).recordRequest(work(tokens));
    }

    /**
     * Records the time to the first event of a stream or to a whole response, or the time after which a request was
     * given up without one.
     *
     * @param service service
     * @param tokens prompt tokens that the server had to read
     * @param time time since the request was sent to the server
     */
    public void recordAnswer(ServiceName service, long tokens, Duration time) {
        quantiles
                .computeIfAbsent(SizeClass.of(service, tokens), key -> new LatencyQuantile(settings.quantile()))
                .record(time);
    }

    /**
     * Returns the time after which a request is late.
     *
     * @param service service
     * @param tokens prompt tokens that the server has to read
     * @return time since the request was sent; empty if it is not hedged, or if too few answers are known
     */
    public Optional<Duration> delay(ServiceName service, long tokens) {
        if (settings.workShare(service) == 0) {
            return Optional.empty();
        }
        return Optional.ofNullable(quantiles.get(SizeClass.of(service, tokens)))
                .flatMap(LatencyQuantile::value)
                .map(delay -> delay.compareTo(MIN_DELAY) < 0 ? MIN_DELAY : delay);
    }

    /**
     * Takes the work of a hedge from the budgets if a late request may be sent to a second server.
     *
     * @param query state of the request and of its service
     * @param retryBudget takes one retry from the budget of the platform unless the rest is reserved for retries
     * @return reason against the hedge, or empty if it may be sent
     */
    public Optional<HedgeRefusal> tryAcquire(HedgeQuery query, BooleanSupplier retryBudget) {
        Optional<HedgeRefusal> refusal = findRefusal(query);
        if (refusal.isPresent()) {
            return refusal;
        }
        HedgeBudget budget = budget(query.service());
        double work = work(query.tokens());
        if (!budget.covers(work)) {
            return Optional.of(HedgeRefusal.NO_BUDGET);
        }
        if (!retryBudget.getAsBoolean()) {
            return Optional.of(HedgeRefusal.RETRY_RESERVE);
        }
        budget.spend(work);
        return Optional.empty();
    }

    /**
     * Returns the work of a request.
     *
     * @param tokens prompt tokens to read
     * @return work, at least 1
     */
    public static double work(long tokens) {
        return Math.max(1, tokens);
    }

    private static Optional<HedgeRefusal> findRefusal(HedgeQuery query) {
        if (!query.repeatable()) {
            return Optional.of(HedgeRefusal.NOT_REPEATABLE);
        } else if (!query.attemptsLeft()) {
            return Optional.of(HedgeRefusal.NO_ATTEMPTS);
        } else if (query.suspected()) {
            return Optional.of(HedgeRefusal.SUSPECTED);
        } else if (query.rolloutRunning()) {
            return Optional.of(HedgeRefusal.ROLLOUT);
        } else if (query.requestsWaiting()) {
            return Optional.of(HedgeRefusal.REQUESTS_WAIT);
        }
        return switch (query.server()) {
            case FREE -> Optional.empty();
            case UNFIT -> Optional.of(HedgeRefusal.NO_SERVER);
            case BUSY -> Optional.of(HedgeRefusal.SERVER_BUSY);
        };
    }

    private HedgeBudget budget(ServiceName service) {
        return budgets.computeIfAbsent(service, name -> new HedgeBudget(settings.workShare(name)));
    }

    /** Requests of a service whose prompts are of similar size: each class spans a factor of two. */
    private record SizeClass(ServiceName service, int exponent) {

        private static SizeClass of(ServiceName service, long tokens) {
            long classes = Math.max(0, tokens - 1) / SMALLEST_CLASS_TOKENS;
            return new SizeClass(service, Long.SIZE - Long.numberOfLeadingZeros(classes));
        }
    }
}
