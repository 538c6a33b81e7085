package org.coltsfootquay.decision.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Crashes of servers, the prompt parts involved in them, and the parts that servers have answered; not thread-safe.
 *
 * <p>A part that some server has answered since a crash did not cause it. Of the other parts, the one that was involved
 * in the most crashes explains them, and only the crashes that it leaves unexplained count against the next one. An
 * incarnation of a server crashes once, so that connections to it that break at other times add no further crash.
 *
 * <p>Crashes prove a part only if they happened one after the other, with different requests. Servers that fail at the
 * same time interrupt the same popular parts, and one request that crashes servers takes its sound parts along; the
 * latter is proved by itself, under the key of its last part.
 */
final class CrashEvidence {

    /** Crashes without an answer since, simultaneous or not, after which only one request at a time may have a part. */
    static final int CRASHES_BEFORE_EXPOSURE_LIMIT = 2;

    /** Crashes without an answer in between that prove a request. */
    static final int REQUIRED_CRASHES_OF_REQUEST = 2;

    /** Successive crashes without an answer in between that prove a part which no server has answered before. */
    static final int REQUIRED_CRASHES = 3;

    /** Different requests that must be needed to explain these crashes. */
    static final int REQUIRED_REQUESTS = 2;

    /**
     * Successive crashes that prove a part which was answered before; it can have become harmful only by a change of
     * the servers.
     */
    static final int REQUIRED_CRASHES_IN_DOUBT = 4;

    /** Different requests that must be needed to explain the crashes of such a part. */
    static final int REQUIRED_REQUESTS_IN_DOUBT = 3;

    /** Time since its last answer before such a part can be proved; requests in progress elsewhere are answered. */
    static final Duration SETTLING_TIME_AFTER_ANSWER = Duration.ofSeconds(2);

    /** Time for which a crash counts; several times the longest quarantine, so that trials renew the evidence. */
    static final Duration RETENTION_TIME = Duration.ofHours(1);

    /**
     * Time in which reports of a crash may still arrive; one about an answered part must not start anew. Single
     * requests count no longer than this, since their callers have left.
     */
    private static final Duration REPETITION_TIME = Duration.ofMinutes(1);

    private static final int MAX_CRASHES = 256;
    private static final int MAX_PARTS_PER_CRASH = 128;
    private static final int MAX_ANSWERED_PARTS = 8192;

    /** Involvement in the crash by part, least recently reported crash first. */
    private final Map<Incarnation, Map<PartKey, Involvement>> crashes = new LinkedHashMap<>();

    /** Time of the last answer by part, least recently answered part first. */
    private final Map<PartKey, Long> answers = new LinkedHashMap<>();

    /**
     * Records a crash.
     *
     * @param report crash
     * @param crashNanos time of the crash
     * @param uncertainty maximum error of the time, relative to the crashes that other routers report
     * @return false if the crash and all its parts were known
     */
    boolean addCrash(CrashReport report, long crashNanos, Duration uncertainty) {
        Incarnation incarnation = new Incarnation(report.server(), report.startedMillis());
        Map<PartKey, Involvement> parts = crashes.computeIfAbsent(incarnation, key -> new HashMap<>());
        boolean changed = false;
        for (UnansweredPart part : report.parts()) {
            if (parts.size() >= MAX_PARTS_PER_CRASH && !parts.containsKey(part.part())) {
                continue;
            }
            long sentNanos = crashNanos - part.sinceSend().plus(uncertainty).toNanos();
            changed |= parts.computeIfAbsent(part.part(), key -> new Involvement(crashNanos))
                    .add(part.request(), sentNanos);
        }
        if (crashes.size() > MAX_CRASHES) {
            crashes.remove(crashes.keySet().iterator().next());
        }
        return changed;
    }

    /**
     * Records that a server has answered a request.
     *
     * @param part part of its prompt
     * @param answerNanos time of the answer
     */
    void addAnswer(PartKey part, long answerNanos) {
        Long known = answers.remove(part);
        answers.put(part, known != null && known - answerNanos > 0 ? known : answerNanos);
        if (answers.size() > MAX_ANSWERED_PARTS) {
            answers.remove(answers.keySet().iterator().next());
        }
    }

    /** Returns the time of the last answer to a part. */
    Optional<Long> answerNanos(PartKey part) {
        return Optional.ofNullable(answers.get(part));
    }

    /** Returns the parts that were involved in a crash and have not been answered since. */
    Set<PartKey> suspects() {
        Set<PartKey> suspects = new HashSet<>();
        crashes.values()
                .forEach(parts -> parts.forEach((part, involvement) -> {
                    if (!answeredSince(part, involvement.crashNanos())) {
                        suspects.add(part);
                    }
                }));
        return suspects;
    }

    /**
     * Returns the shared parts that were involved in several crashes and have not been answered since. One crash takes
     * all parts of the moment along; those of requests by themselves are not shared.
     */
    Set<PartKey> exposureLimited() {
        Map<PartKey, Integer> unanswered = new HashMap<>();
        crashes.values()
                .forEach(parts -> parts.forEach((part, involvement) -> {
                    if (!answeredSince(part, involvement.crashNanos())
                            && !involvement.requests().contains(part)) {
                        unanswered.merge(part, 1, Integer::sum);
                    }
                }));
        unanswered.values().removeIf(count -> count < CRASHES_BEFORE_EXPOSURE_LIMIT);
        return unanswered.keySet();
    }

    /** Returns the parts to which crashes are attributed, those with the most crashes first. */
    List<Culprit> culprits(long nowNanos) {
        removeObsolete(nowNanos);
        Set<Incarnation> unexplained = new LinkedHashSet<>(crashes.keySet());
        List<Culprit> culprits = new ArrayList<>(singleRequests());
        Optional<Culprit> next = strongest(unexplained, nowNanos);
        while (next.isPresent()) {
            culprits.add(next.get());
            next = strongest(unexplained, nowNanos);
        }
        return culprits;
    }

    /** Returns the requests to which crashes are attributed, whatever their other parts are. */
    private List<Culprit> singleRequests() {
        Map<PartKey, Set<Incarnation>> involved = new LinkedHashMap<>();
        crashes.forEach((incarnation, parts) -> parts.forEach((part, involvement) -> {
            if (involvement.requests().contains(part) && !answeredSince(part, involvement.crashNanos())) {
                involved.computeIfAbsent(part, key -> new LinkedHashSet<>()).add(incarnation);
            }
        }));
        List<Culprit> culprits = new ArrayList<>();
        involved.forEach((request, incarnations) -> {
            if (incarnations.size() >= REQUIRED_CRASHES_OF_REQUEST) {
                culprits.add(culprit(Set.of(request), request, incarnations, true));
            }
        });
        return culprits;
    }

    /** Returns the parts involved in the most crashes and removes these crashes, or empty if no part is proved. */
    private Optional<Culprit> strongest(Set<Incarnation> unexplained, long nowNanos) {
        Map<PartKey, Set<Incarnation>> involved = new HashMap<>();
        for (Incarnation incarnation : unexplained) {
            crashes.get(incarnation).forEach((part, involvement) -> {
                if (!answeredSince(part, involvement.crashNanos())) {
                    involved.computeIfAbsent(part, key -> new LinkedHashSet<>()).add(incarnation);
                }
            });
        }
        involved.entrySet().removeIf(entry -> !isProved(entry.getKey(), entry.getValue(), nowNanos));
        Optional<PartKey> strongest = involved.keySet().stream()
                .max(Comparator.<PartKey>comparingInt(part -> involved.get(part).size())
                        .thenComparingLong(PartKey::hash));
        return strongest.map(part -> {
            Set<Incarnation> explained = involved.get(part);
            Set<PartKey> indistinguishable = new HashSet<>(involved.keySet());
            indistinguishable.removeIf(other -> !involved.get(other).equals(explained));
            unexplained.removeAll(explained);
            return culprit(indistinguishable, part, explained, false);
        });
    }

    private Culprit culprit(
            Set<PartKey> parts, PartKey part, Collection<Incarnation> explained, boolean singleRequest) {
        List<String> servers =
                explained.stream().map(crash -> crash.server().value()).toList();
        long last = explained.stream()
                .map(crash -> crashes.get(crash).get(part).crashNanos())
                .max((a, b) -> Long.signum(a - b))
                .orElseThrow();
        return new Culprit(parts, servers, last, singleRequest);
    }

    private boolean isProved(PartKey part, Set<Incarnation> involved, long nowNanos) {
        List<Involvement> involvements =
                involved.stream().map(crash -> crashes.get(crash).get(part)).toList();
        if (involvements.size() < REQUIRED_CRASHES) {
            return false;
        }
        int successive = Involvement.countSuccessive(involvements);
        int requests = Involvement.countRequests(involvements);
        Long answered = answers.get(part);
        if (answered == null) {
            return successive >= REQUIRED_CRASHES && requests >= REQUIRED_REQUESTS;
        }
        return successive >= REQUIRED_CRASHES_IN_DOUBT
                && requests >= REQUIRED_REQUESTS_IN_DOUBT
                && nowNanos - answered >= SETTLING_TIME_AFTER_ANSWER.toNanos();
    }

    private boolean answeredSince(PartKey part, long crashNanos) {
        Long answered = answers.get(part);
        return answered != null && answered - crashNanos >= 0;
    }

    /** Removes what no longer counts: old crashes, and parts that were answered since. */
    private void removeObsolete(long nowNanos) {
        for (Map<PartKey, Involvement> parts : crashes.values()) {
            parts.entrySet().removeIf(entry -> {
                Involvement involvement = entry.getValue();
                boolean request = involvement.requests().contains(entry.getKey());
                boolean answered = answeredSince(entry.getKey(), involvement.crashNanos());
                long age = nowNanos - involvement.crashNanos();
                return age > (request || answered ? REPETITION_TIME : RETENTION_TIME).toNanos();
            });
        }
        crashes.values().removeIf(Map::isEmpty);
    }

    /** Returns the most recent crashes in which all given parts were involved, restricted to these parts. */
    Map<CrashReport, Long> crashesOf(Set<PartKey> culprit, int limit) {
        Map<CrashReport, Long> found = new HashMap<>();
        crashes.forEach((incarnation, parts) -> {
            if (parts.keySet().containsAll(culprit)) {
                List<UnansweredPart> involved = new ArrayList<>();
                culprit.forEach(part -> parts.get(part).addTo(involved, part));
                long time = parts.get(culprit.iterator().next()).crashNanos();
                found.put(new CrashReport(incarnation.server(), incarnation.startedMillis(), involved), time);
            }
        });
        return found.entrySet().stream()
                .sorted((a, b) -> Long.signum(b.getValue() - a.getValue()))
                .limit(limit)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    private record Incarnation(ServerName server, long startedMillis) {}
}
