package org.coltsfootquay.decision.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.rollout.SequentialTest.Sample;

/**
 * Compares the responses of the target with those of the other versions by route and in total; not thread-safe.
 *
 * <p>Bad are failures, and latencies above those of a few or of half of the responses of the other versions on the same
 * route.
 */
final class VersionComparison {

    /** Key of the tests over all routes; no route has an empty name. */
    private static final String ALL_ROUTES = "";

    /** Bad responses that routers other than the one with most of them must have seen, and their share of all. */
    private static final long MIN_BAD_OF_OTHERS = 2;

    private static final double MIN_SHARE_OF_OTHERS = 0.25;

    /** Failures of the target without acceptance after which it gets no more; the operator tolerates 50. */
    private static final long MAX_FAILURES = 35;

    private final FleetEvidence evidence;
    private final Map<CountKey, VersionCounts> compared = new HashMap<>();
    private final Map<String, Map<Aspect, SequentialTest>> tests = new HashMap<>();

    VersionComparison(FleetEvidence evidence) {
        this.evidence = evidence;
    }

    /**
     * Compares the responses since the previous call.
     *
     * @param members number of routers; if there are several, what only one of them has seen rejects no version
     */
    Verdict compare(int members) {
        Set<String> routes = new HashSet<>();
        evidence.sums().keySet().forEach(key -> routes.add(key.route()));
        Map<Aspect, Comparison> totals = new HashMap<>();
        for (String route : routes) {
            Map<Aspect, Comparison> comparisons = compareRoute(route);
            comparisons.forEach((aspect, comparison) -> {
                if (aspect != Aspect.FAILURES || !new CountKey(route, "").run()) {
                    totals.merge(aspect, comparison, Comparison::plus);
                }
            });
        }
        totals.forEach((aspect, comparison) -> addTo(ALL_ROUTES, aspect, comparison));
        return verdict(members);
    }

    /** Returns the new responses of a route; empty while the other versions have too few. */
    private Map<Aspect, Comparison> compareRoute(String route) {
        CountKey others = new CountKey(route, "");
        VersionCounts all = evidence.sums().getOrDefault(others, VersionCounts.NONE);
        VersionCounts recent = evidence.recent(others);
        Map<CountKey, VersionCounts> added = new HashMap<>();
        evidence.sums().forEach((key, counts) -> {
            if (key.target() && key.route().equals(route)) {
                added.put(key, counts.minus(compared.getOrDefault(key, VersionCounts.NONE)));
            }
        });
        Map<Aspect, Comparison> comparisons = new HashMap<>();
        boolean comparable = true;
        for (Aspect aspect : Aspect.values()) {
            int bucket = all.bucketOf(aspect.baseShare);
            Map<String, Sample> samples = new HashMap<>();
            added.forEach((key, counts) -> samples.put(key.server(), aspect.sample(counts, bucket)));
            Comparison comparison = new Comparison(aspect.sample(all, bucket), aspect.sample(recent, bucket), samples);
            comparable &= test(route, aspect).compareWith(comparison.all, comparison.recent);
            comparisons.put(aspect, comparison);
        }
        if (!comparable) {
            return Map.of();
        }
        added.forEach((key, counts) -> compared.put(key, evidence.sums().get(key)));
        comparisons.forEach((aspect, comparison) -> addTo(route, aspect, comparison));
        return comparisons;
    }

    private void addTo(String route, Aspect aspect, Comparison comparison) {
        SequentialTest test = test(route, aspect);
        if (test.compareWith(comparison.all, comparison.recent)) {
            test.add(comparison.added);
        }
    }

    private SequentialTest test(String route, Aspect aspect) {
        return tests.computeIfAbsent(route, name -> new HashMap<>())
                .computeIfAbsent(aspect, name -> new SequentialTest(name.minEffect));
    }

    private Verdict verdict(int members) {
        Verdict figures = figures();
        boolean suspect = false;
        for (Map.Entry<String, Map<Aspect, SequentialTest>> route : tests.entrySet()) {
            for (Map.Entry<Aspect, SequentialTest> entry : route.getValue().entrySet()) {
                SequentialTest test = entry.getValue();
                if (test.rejects() && (members == 1 || seenBySeveral(route.getKey(), entry.getKey()))) {
                    return new Verdict(
                            Verdict.Kind.BAD,
                            entry.getKey() + " on " + (route.getKey().isEmpty() ? "all routes" : route.getKey()),
                            figures.targetRequests(),
                            figures.targetFailures(),
                            figures.otherRequests(),
                            figures.otherFailures(),
                            test.rejectionSum());
                }
                suspect |= test.suspects();
            }
        }
        Map<Aspect, SequentialTest> total = tests.getOrDefault(ALL_ROUTES, Map.of());
        boolean accepted = !total.isEmpty() && total.values().stream().allMatch(SequentialTest::accepts);
        boolean several = members == 1 || seenBySeveral(ALL_ROUTES, Aspect.FAILURES);
        if (!accepted && figures.targetFailures() >= MAX_FAILURES && several) {
            return figures.because(Verdict.Kind.BAD, "number of failures");
        }
        if (!accepted || suspect) {
            return figures;
        }
        return figures.because(Verdict.Kind.GOOD, "as good as the other versions");
    }

    /** Returns whether enough bad responses remain without those of the router that has seen most of them. */
    private boolean seenBySeveral(String route, Aspect aspect) {
        long total = 0;
        long most = 0;
        for (Map<CountKey, VersionCounts> counts : evidence.byRouter()) {
            long bad = 0;
            for (Map.Entry<CountKey, VersionCounts> entry : counts.entrySet()) {
                CountKey key = entry.getKey();
                if (key.target() && (route.equals(ALL_ROUTES) || route.equals(key.route()))) {
                    VersionCounts others =
                            evidence.sums().getOrDefault(new CountKey(key.route(), ""), VersionCounts.NONE);
                    bad += aspect.sample(entry.getValue(), others.bucketOf(aspect.baseShare))
                            .bad();
                }
            }
            total += bad;
            most = Math.max(most, bad);
        }
        return total - most >= Math.max(MIN_BAD_OF_OTHERS, MIN_SHARE_OF_OTHERS * total);
    }

    private Verdict figures() {
        VersionCounts target = evidence.total(true);
        VersionCounts others = evidence.total(false);
        return new Verdict(
                Verdict.Kind.OPEN,
                "too few responses",
                target.requests(),
                target.failures(),
                others.requests(),
                others.failures(),
                0);
    }

    /** What makes a response bad. */
    private enum Aspect {
        /** Failures. */
        FAILURES(0.05, 0.02),
        /** Latencies that few responses of the other versions have. */
        SLOWEST(0.06, 0.02),
        /** Latencies that less than half of the responses of the other versions have. */
        MEDIAN(0.2, 0.4);

        private final double minEffect;

        /** Largest share of the latencies of other versions above the bucket from which on responses are bad. */
        private final double baseShare;

        Aspect(double minEffect, double baseShare) {
            this.minEffect = minEffect;
            this.baseShare = baseShare;
        }

        private Sample sample(VersionCounts counts, int bucket) {
            return this == FAILURES
                    ? new Sample(counts.requests(), counts.failures())
                    : new Sample(counts.timed(), counts.above(bucket));
        }
    }

    /** Responses of the other versions, and new ones of the target by server. */
    private record Comparison(Sample all, Sample recent, Map<String, Sample> added) {

        private Comparison plus(Comparison other) {
            Map<String, Sample> sum = new HashMap<>(added);
            other.added.forEach((server, sample) -> sum.merge(server, sample, Sample::plus));
            return new Comparison(all.plus(other.all), recent.plus(other.recent), sum);
        }
    }
}
