package org.coltsfootquay.decision.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Decides which requests must not be sent because a part of their prompts crashes servers; not thread-safe.
 *
 * <p>Routers tell each other the crashes that they see and the parts that are answered, and each one draws its own
 * conclusions, so that a router can withdraw a conclusion that later evidence contradicts. A quarantine lapses after a
 * time that doubles with each further crash. Then single requests are let through as trials: an answer ends the
 * quarantine on all routers, another crash extends it.
 *
 * <p>From the second crash without an answer on, the routers together let one request at a time through with a part, so
 * that a part which crashes servers gets no more of them than its proof needs. The others wait for the outcome.
 */
public final class PartQuarantine {

    /** Time in which the answers of other routers arrive; until then, callers may be told to retry. */
    public static final Duration SETTLING_TIME = Duration.ofSeconds(1);

    /** Duration of a quarantine after the crash that proves it; a trial costs the capacity of an engine for seconds. */
    static final Duration INITIAL_DURATION = Duration.ofMinutes(1);

    /** Duration of the quarantine of a single request; its callers have left by then. */
    static final Duration SINGLE_REQUEST_DURATION = Duration.ofSeconds(15);

    /** Maximum error of the time of a crash that another router reports: the delays of datagrams and event loops. */
    private static final Duration REPORT_UNCERTAINTY = Duration.ofMillis(100);

    /** Maximum duration of a quarantine; bounds how long a part is rejected after the servers were corrected. */
    static final Duration MAX_DURATION = Duration.ofMinutes(15);

    /**
     * Average time between the trials of different routers: the crash of one is known everywhere before the next. It
     * exceeds the processing time of a prompt and the period of the beacons.
     */
    private static final Duration TRIAL_SPACING = Duration.ofSeconds(3);

    /** Doublings after which the duration of a quarantine exceeds its maximum. */
    private static final int MAX_DOUBLINGS = 8;

    /** Time in which a trial ends with an answer or a crash; longer than a prompt waits for its first event. */
    private static final Duration TRIAL_DURATION = Duration.ofSeconds(30);

    /** Maximum time between two evaluations while there are suspects, since conclusions also depend on time. */
    private static final Duration EVALUATION_INTERVAL = Duration.ofMillis(500);

    /** Messages in which each piece of news is repeated, since datagrams get lost. */
    private static final int REPETITIONS = 4;

    /**
     * Time between two repetitions of the crashes behind a quarantine by one router, for each router of the fleet: a
     * router that joins learns them about this soon from one of the others, and the load does not grow with the fleet.
     */
    private static final Duration REPEAT_INTERVAL_PER_ROUTER = Duration.ofMillis(100);

    /** Crashes of each culprit that are repeated for routers that join; enough to prove any part. */
    private static final int REPEATED_CRASHES = CrashEvidence.REQUIRED_CRASHES_IN_DOUBT + 3;

    /** Maximum number of answers that wait to be sent; more than the parts that one crash involves. */
    private static final int MAX_ANSWERS_TO_SEND = 256;

    /** Maximum number of parts with limited exposure whose crashes are repeated for routers that join. */
    private static final int MAX_REPEATED_PARTS = 16;

    private final CrashEvidence evidence = new CrashEvidence();
    private final ProbeClaims claims;
    private final QuarantineListener listener;
    private final IntSupplier routers;
    private final RandomGenerator random;
    private final Map<Set<PartKey>, Entry> entries = new LinkedHashMap<>();
    private final Map<CrashReport, Outgoing> crashesToSend = new LinkedHashMap<>();
    private final Map<PartKey, Outgoing> answersToSend = new LinkedHashMap<>();
    private Set<PartKey> suspects = Set.of();
    private Set<PartKey> exposureLimited = Set.of();
    private long evaluatedNanos;
    private long repeatedNanos = Long.MIN_VALUE / 2;

    /**
     * Creates a quarantine without parts.
     *
     * @param listener listener for changes
     * @param routers number of routers in the fleet
     * @param random source of the delays of trials
     */
    public PartQuarantine(QuarantineListener listener, IntSupplier routers, RandomGenerator random) {
        this.routers = ArgumentUtils.requireValue(routers, "routers");
        this.listener = ArgumentUtils.requireValue(listener, "listener");
        this.random = ArgumentUtils.requireValue(random, "random");
        this.claims = new ProbeClaims(routers, random);
    }

    /**
     * Records a crash that this router has seen.
     *
     * @param report crash with the parts of the requests of this router that the server had not begun to answer; each
     *     request is itself a part under the key of its last one
     * @param nowNanos current time
     */
    public void recordCrash(CrashReport report, long nowNanos) {
        if (report.parts().isEmpty() || !evidence.addCrash(report, nowNanos, Duration.ZERO)) {
            return;
        }
        crashesToSend.put(report, new Outgoing(nowNanos));
        report.partKeys().forEach(this::sendAnswer);
        evaluate(nowNanos);
        listener.newsAdded();
    }

    /**
     * Records that a server has answered a request and has not crashed by it.
     *
     * @param parts shared parts of its prompt
     * @param nowNanos current time
     */
    public void recordAnswer(Set<PartKey> parts, long nowNanos) {
        boolean relevant = false;
        for (PartKey part : parts) {
            evidence.addAnswer(part, nowNanos);
            if (suspects.contains(part)) {
                relevant = true;
                sendAnswer(part);
            }
        }
        if (relevant) {
            evaluate(nowNanos);
            listener.newsAdded();
        }
    }

    /**
     * Records that a server has answered a request and has not crashed by it, if the request is suspected by itself.
     *
     * @param request key of the last part of its prompt
     * @param nowNanos current time
     */
    public void recordAnswer(PartKey request, long nowNanos) {
        if (suspects.contains(request)) {
            recordAnswer(Set.of(request), nowNanos);
        }
    }

    /**
     * Returns why a request must not be sent.
     *
     * @param parts parts of its prompt
     * @param nowNanos current time
     * @return reason, or empty if it may be sent
     */
    public Optional<Rejection> check(Set<PartKey> parts, long nowNanos) {
        if (suspects.isEmpty() || parts.isEmpty()) {
            return Optional.empty();
        }
        if (nowNanos - evaluatedNanos >= EVALUATION_INTERVAL.toNanos()) {
            evaluate(nowNanos);
        }
        return entries.values().stream()
                .filter(entry -> parts.containsAll(entry.culprit.parts()) && !entry.trialAllowed(nowNanos))
                .findFirst()
                .map(entry -> entry.rejection(nowNanos));
    }

    /**
     * Records that a request is sent, which may be a trial.
     *
     * @param parts shared parts of its prompt
     * @param nowNanos current time
     */
    public void recordSent(Set<PartKey> parts, long nowNanos) {
        for (Entry entry : entries.values()) {
            if (parts.containsAll(entry.culprit.parts())) {
                entry.trialNanos = nowNanos + TRIAL_DURATION.toNanos();
            }
        }
    }

    /**
     * Returns the number by which {@link #tryProbe} tells a request from others.
     *
     * @return random number
     */
    public long newProbe() {
        return random.nextLong();
    }

    /**
     * Returns whether a request may be sent without a second one with the same suspected part at any server. If not, it
     * may be allowed to later, once other routers have had time to object or another request has ended.
     *
     * @param probe number of the request
     * @param parts shared parts of its prompt
     * @param nowNanos current time
     * @return true if it may be sent now
     */
    public boolean tryProbe(long probe, Set<PartKey> parts, long nowNanos) {
        if (!isExposureLimited(parts)) {
            return true;
        }
        Set<PartKey> limited = new HashSet<>(parts);
        limited.retainAll(exposureLimited);
        boolean acquired = claims.tryAcquire(probe, limited, nowNanos);
        tellClaims();
        return acquired;
    }

    /**
     * Returns whether only one request at a time may be at a server with one of some parts.
     *
     * @param parts shared parts of a prompt
     * @return true if one of them was involved in several crashes and has not been answered since
     */
    public boolean isExposureLimited(Set<PartKey> parts) {
        return !exposureLimited.isEmpty() && parts.stream().anyMatch(exposureLimited::contains);
    }

    /**
     * Records that a request is sent; has no effect unless its parts are suspected.
     *
     * @param probe number of the request
     * @param nowNanos current time
     */
    public void probeSent(long probe, long nowNanos) {
        claims.sent(probe, nowNanos);
        tellClaims();
    }

    /**
     * Records that a request is not, or no longer, at a server; has no effect unless its parts were suspected.
     *
     * @param probe number of the request
     */
    public void probeEnded(long probe) {
        claims.end(probe);
        tellClaims();
    }

    private void tellClaims() {
        if (claims.hasUnsentNews()) {
            listener.newsAdded();
        }
    }

    /**
     * Returns the number of parts that only one request at a time may have at a server.
     *
     * @return number
     */
    public int exposureLimitedParts() {
        return exposureLimited.size();
    }

    /**
     * Records what another router tells.
     *
     * @param news news
     * @param nowNanos current time
     */
    public void receive(QuarantineNews news, long nowNanos) {
        if (news.isEmpty()) {
            return;
        }
        boolean changed = false;
        for (Map.Entry<CrashReport, Duration> crash : news.crashes().entrySet()) {
            if (isPlausible(crash.getValue())) {
                long crashNanos = nowNanos - crash.getValue().toNanos();
                if (evidence.addCrash(crash.getKey(), crashNanos, REPORT_UNCERTAINTY)) {
                    changed = true;
                    crash.getKey().partKeys().forEach(this::sendAnswer);
                }
            }
        }
        for (Map.Entry<PartKey, Duration> answer : news.answers().entrySet()) {
            if (isPlausible(answer.getValue())) {
                long answerNanos = nowNanos - answer.getValue().toNanos();
                if (evidence.answerNanos(answer.getKey())
                        .filter(own -> own - answerNanos > 0)
                        .isEmpty()) {
                    answersToSend.remove(answer.getKey());
                }
                evidence.addAnswer(answer.getKey(), answerNanos);
                changed |= suspects.contains(answer.getKey());
            }
        }
        if (changed) {
            evaluate(nowNanos);
        }
        news.claims().forEach(claim -> claims.receive(claim, nowNanos));
        tellClaims();
    }

    private static boolean isPlausible(Duration age) {
        return !age.isNegative() && age.compareTo(CrashEvidence.RETENTION_TIME) <= 0;
    }

    /**
     * Returns what the other routers should be told now.
     *
     * @param all true to repeat the crashes behind each quarantine and limit, for routers that have not received them,
     *     unless this router has done so a short time ago
     * @param nowNanos current time
     * @return news
     */
    public QuarantineNews takeNews(boolean all, long nowNanos) {
        Map<CrashReport, Duration> crashes = new HashMap<>();
        Duration repeatInterval = REPEAT_INTERVAL_PER_ROUTER.multipliedBy(routers.getAsInt());
        if (all && nowNanos - repeatedNanos >= repeatInterval.toNanos()) {
            repeatedNanos = nowNanos;
            repeatedParts()
                    .forEach(parts -> evidence.crashesOf(parts, REPEATED_CRASHES)
                            .forEach((report, time) -> crashes.put(report, age(time, nowNanos))));
        }
        crashesToSend.forEach((report, outgoing) -> crashes.put(report, age(outgoing.eventNanos, nowNanos)));
        Map<PartKey, Duration> answers = new HashMap<>();
        answersToSend
                .keySet()
                .forEach(part -> evidence.answerNanos(part).ifPresent(time -> answers.put(part, age(time, nowNanos))));
        countSent(crashesToSend);
        countSent(answersToSend);
        return new QuarantineNews(crashes, answers, claims.takeNews(all, nowNanos));
    }

    private List<Set<PartKey>> repeatedParts() {
        List<Set<PartKey>> repeated = new ArrayList<>(entries.keySet());
        exposureLimited.stream().limit(MAX_REPEATED_PARTS).map(Set::of).forEach(repeated::add);
        return repeated;
    }

    /**
     * Returns whether there is news that was not sent often enough.
     *
     * @return true if {@link #takeNews} has something new
     */
    public boolean hasNews() {
        return !crashesToSend.isEmpty() || !answersToSend.isEmpty() || claims.hasNews();
    }

    /**
     * Returns the number of quarantines.
     *
     * @return number
     */
    public int size() {
        return entries.size();
    }

    private static Duration age(long eventNanos, long nowNanos) {
        return Duration.ofNanos(Math.max(0, nowNanos - eventNanos));
    }

    private static void countSent(Map<?, Outgoing> outgoing) {
        outgoing.values().removeIf(entry -> ++entry.sent >= REPETITIONS);
    }

    /** Tells the others when a part that a crash involves was last answered. */
    private void sendAnswer(PartKey part) {
        evidence.answerNanos(part).ifPresent(time -> {
            if (answersToSend.size() < MAX_ANSWERS_TO_SEND) {
                answersToSend.put(part, new Outgoing(time));
            }
        });
    }

    private void evaluate(long nowNanos) {
        evaluatedNanos = nowNanos;
        suspects = evidence.suspects();
        exposureLimited = suspects.isEmpty() ? Set.of() : evidence.exposureLimited();
        List<Culprit> culprits = suspects.isEmpty() ? List.of() : evidence.culprits(nowNanos);
        Set<Set<PartKey>> current = new HashSet<>();
        for (Culprit culprit : culprits) {
            current.add(culprit.parts());
            Entry entry = entries.get(culprit.parts());
            if (entry == null || culprit.crashes() > entry.culprit.crashes()) {
                long sinceNanos = entry == null ? nowNanos : entry.sinceNanos;
                entries.put(culprit.parts(), new Entry(culprit, sinceNanos, firstTrialNanos(culprit)));
                listener.quarantined(culprit.partNames(), culprit.servers());
            }
        }
        Iterator<Map.Entry<Set<PartKey>, Entry>> iterator = entries.entrySet().iterator();
        List<String> released = new ArrayList<>();
        while (iterator.hasNext()) {
            Map.Entry<Set<PartKey>, Entry> entry = iterator.next();
            if (!current.contains(entry.getKey())) {
                iterator.remove();
                released.add(entry.getValue().culprit.partNames());
            }
        }
        released.forEach(listener::released);
    }

    /**
     * Returns the time of the first trial of this router. It contains a random delay, so that not all routers let a
     * request through at once.
     */
    private long firstTrialNanos(Culprit culprit) {
        if (culprit.singleRequest()) {
            return culprit.lastCrashNanos() + SINGLE_REQUEST_DURATION.toNanos();
        }
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, culprit.crashes() - CrashEvidence.REQUIRED_CRASHES));
        long duration = Math.min(MAX_DURATION.toNanos(), INITIAL_DURATION.toNanos() << doublings);
        long delay = (long) (random.nextDouble() * routers.getAsInt() * TRIAL_SPACING.toNanos());
        return culprit.lastCrashNanos() + duration + delay;
    }

    /** News that is sent several times. */
    private static final class Outgoing {

        private final long eventNanos;
        private int sent;

        private Outgoing(long eventNanos) {
            this.eventNanos = eventNanos;
        }
    }

    /** Quarantine of the parts of a culprit. */
    private static final class Entry {

        private final Culprit culprit;
        private final long sinceNanos;

        /** Time from which a request may be let through as a trial. */
        private long trialNanos;

        private Entry(Culprit culprit, long sinceNanos, long trialNanos) {
            this.culprit = culprit;
            this.sinceNanos = sinceNanos;
            this.trialNanos = trialNanos;
        }

        private Rejection rejection(long nowNanos) {
            boolean settled = !culprit.singleRequest() && nowNanos - sinceNanos >= SETTLING_TIME.toNanos();
            long untilTrial = Math.max(0, trialNanos - nowNanos);
            Duration retryAfter = culprit.singleRequest() ? Duration.ofNanos(untilTrial) : SETTLING_TIME;
            return new Rejection(culprit.partNames(), culprit.crashes(), settled, settled ? Duration.ZERO : retryAfter);
        }

        private boolean trialAllowed(long nowNanos) {
            return nowNanos - trialNanos >= 0;
        }
    }
}
