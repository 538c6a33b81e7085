package org.coltsfootquay.decision.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.coltsfootquay.decision.common.ServerName;
import org.junit.jupiter.api.Test;

/** Guards against crashes that are attributed to parts which did not cause them. */
final class CrashEvidenceTest {

    private static final long DEADLY = 1;
    private static final long SOUND = 2;
    private static final long REQUEST = 99;
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final CrashEvidence evidence = new CrashEvidence();
    private long now = 100 * SECOND;
    private int servers;

    @Test
    void twoCrashesProveNothing() {
        crash(DEADLY);
        crash(DEADLY);
        assertEquals(List.of(), culprits());
    }

    @Test
    void partOfEachCrashIsProved() {
        crash(DEADLY, SOUND);
        crash(DEADLY, 3);
        crash(DEADLY, 4);
        assertEquals(List.of(keys(DEADLY)), culprits());
    }

    @Test
    void answerAcquitsAPart() {
        crash(DEADLY, SOUND);
        crash(DEADLY, SOUND);
        answer(SOUND);
        crash(DEADLY, SOUND);
        assertEquals(List.of(keys(DEADLY)), culprits());
    }

    /** A router that was frozen reads old datagrams with the ages of the time when they were sent. */
    @Test
    void reportThatIsReadLateDoesNotUndoAnAnswer() {
        for (int i = 0; i < 3; i++) {
            evidence.addCrash(report(new ServerName("late" + i), 1, i, SOUND), now, Duration.ZERO);
        }
        now++;
        answer(SOUND);
        culprits();
        now += 3 * SECOND;
        for (int i = 0; i < 3; i++) {
            evidence.addCrash(report(new ServerName("late" + i), 1, i, SOUND), now, Duration.ZERO);
        }
        assertEquals(Set.of(), evidence.suspects());
    }

    @Test
    void answerBeforeACrashDelaysTheProof() {
        answer(SOUND);
        for (int i = 0; i < CrashEvidence.REQUIRED_CRASHES_IN_DOUBT - 1; i++) {
            crash(SOUND);
        }
        assertEquals(List.of(), culprits());
    }

    /** The crash of a zone involves a popular part in many crashes at once. */
    @Test
    void manyCrashesAtOnceProveNoPartThatWasAnsweredAMomentAgo() {
        answer(SOUND);
        for (int i = 0; i < 20; i++) {
            crash(SOUND);
        }
        assertEquals(List.of(), culprits());
    }

    @Test
    void partThatWasAnsweredBeforeIsProvedByMoreCrashes() {
        answer(DEADLY);
        for (int i = 0; i < CrashEvidence.REQUIRED_CRASHES_IN_DOUBT; i++) {
            now += SECOND;
            crash(DEADLY);
        }
        assertEquals(List.of(keys(DEADLY)), culprits());
    }

    @Test
    void crashesOfOneIncarnationCountOnce() {
        ServerName server = new ServerName("s");
        for (int i = 0; i < 5; i++) {
            evidence.addCrash(report(server, 7, 1, SOUND), now, Duration.ZERO);
        }
        assertEquals(List.of(), culprits());
    }

    @Test
    void reportsOfSeveralRoutersAboutOneCrashAreCombined() {
        ServerName server = new ServerName("s");
        assertTrue(evidence.addCrash(report(server, 7, 1, SOUND), now, Duration.ZERO));
        assertTrue(evidence.addCrash(report(server, 7, 2, DEADLY), now, Duration.ZERO));
        assertFalse(evidence.addCrash(report(server, 7, 2, DEADLY), now, Duration.ZERO));
        crash(DEADLY);
        crash(DEADLY);
        assertEquals(List.of(keys(DEADLY)), culprits());
    }

    /** One request that crashes three engines does not show which of its parts is the cause. */
    @Test
    void partsThatAreAlwaysTogetherAreProvedTogether() {
        crash(DEADLY, SOUND);
        crash(DEADLY, SOUND);
        crash(DEADLY, SOUND);
        assertEquals(List.of(keys(DEADLY, SOUND)), culprits());
        crash(DEADLY, 3);
        assertEquals(List.of(keys(DEADLY)), culprits());
    }

    /** A request that is resumed on three servers which crash because of others proves nothing against its parts. */
    @Test
    void crashesOfOneRequestProveNothing() {
        for (int i = 0; i < 3; i++) {
            evidence.addCrash(report(new ServerName("s" + i), 1, 99, SOUND), now++, Duration.ZERO);
        }
        assertEquals(List.of(), culprits());
        evidence.addCrash(report(new ServerName("other"), 1, 98, SOUND), now++, Duration.ZERO);
        assertEquals(List.of(keys(SOUND)), culprits());
    }

    /** A request that crashed servers took the blame to its sound parts. */
    @Test
    void requestThatCrashesTwoServersIsProvedWithoutItsParts() {
        for (int i = 0; i < 10; i++) {
            evidence.addCrash(report(new ServerName("s" + i), 1, REQUEST, REQUEST, SOUND), now++, Duration.ZERO);
            assertEquals(i == 0 ? List.of() : List.of(keys(REQUEST)), culprits());
        }
    }

    @Test
    void eachOfTwoRequestsThatMetInTwoCrashesIsProved() {
        for (int i = 0; i < 2; i++) {
            ServerName server = new ServerName("s" + i);
            evidence.addCrash(report(server, 1, REQUEST, REQUEST), now, Duration.ZERO);
            evidence.addCrash(report(server, 1, 98, 98), now++, Duration.ZERO);
        }
        assertEquals(Set.of(keys(REQUEST), keys(98)), Set.copyOf(culprits()));
    }

    @Test
    void answerAcquitsARequest() {
        for (int i = 0; i < 2; i++) {
            evidence.addCrash(report(new ServerName("s" + i), 1, REQUEST, REQUEST), now++, Duration.ZERO);
        }
        answer(REQUEST);
        assertEquals(List.of(), culprits());
    }

    /** A power cut interrupts the same popular parts on all servers. */
    @Test
    void simultaneousCrashesProveNoPart() {
        for (int i = 0; i < 20; i++) {
            CrashReport report = report(new ServerName("s" + i), 1, i, Duration.ofMillis(10L + i), DEADLY, SOUND);
            evidence.addCrash(report, now + i * MILLI, Duration.ZERO);
        }
        now += 10 * SECOND;
        assertEquals(List.of(), culprits());
    }

    /** Also if the part was answered before, and the crashes are seen at different times by different routers. */
    @Test
    void simultaneousCrashesThatAreReportedLateProveNoPart() {
        answer(SOUND);
        for (int i = 0; i < 20; i++) {
            CrashReport report = report(new ServerName("s" + i), 1, i, Duration.ofMillis(1), SOUND);
            evidence.addCrash(report, now + i * 5L * MILLI, Duration.ofMillis(100));
        }
        now += 10 * SECOND;
        assertEquals(List.of(), culprits());
    }

    @Test
    void crashesAfterOneAnotherProveAPartAlthoughRequestsOverlap() {
        for (int i = 0; i < 8; i++) {
            CrashReport report = report(new ServerName("s" + i), 1, i, Duration.ofMillis(500), DEADLY);
            evidence.addCrash(report, now, Duration.ZERO);
            now += 250 * MILLI;
        }
        assertEquals(List.of(keys(DEADLY)), culprits());
    }

    @Test
    void twoPartsAreProvedAtOnce() {
        for (int i = 0; i < 3; i++) {
            crash(DEADLY, 10 + i);
            crash(SOUND, 20 + i);
        }
        assertEquals(Set.of(keys(DEADLY), keys(SOUND)), Set.copyOf(culprits()));
    }

    @Test
    void crashesThatAnotherPartExplainsDoNotCount() {
        crash(DEADLY, SOUND);
        crash(DEADLY, SOUND);
        crash(DEADLY, SOUND);
        crash(DEADLY, 3);
        crash(SOUND, 4);
        crash(SOUND, 5);
        assertEquals(List.of(keys(SOUND)), culprits().subList(0, 1));
        answer(SOUND);
        assertEquals(List.of(keys(DEADLY)), culprits());
    }

    @Test
    void oldCrashesDoNotCount() {
        crash(DEADLY);
        crash(DEADLY);
        now += CrashEvidence.RETENTION_TIME.toNanos() + 1;
        crash(DEADLY);
        assertEquals(List.of(), culprits());
    }

    @Test
    void memoryIsBounded() {
        for (int i = 0; i < 100_000; i++) {
            crash(i, -i);
            answer(1_000_000 + i);
        }
        assertTrue(evidence.suspects().size() <= 2 * 256, evidence.suspects().size() + " suspects");
        assertTrue(evidence.answerNanos(new PartKey(1_000_000)).isEmpty());
    }

    private void crash(long... parts) {
        evidence.addCrash(report(new ServerName("s" + servers++), servers, servers, parts), now, Duration.ZERO);
        now++;
    }

    /** Returns the report of a crash that followed the dispatch of a request at once. */
    private static CrashReport report(ServerName server, long startedMillis, long request, long... parts) {
        return report(server, startedMillis, request, Duration.ZERO, parts);
    }

    private static CrashReport report(
            ServerName server, long startedMillis, long request, Duration sinceSend, long... parts) {
        return new CrashReport(
                server,
                startedMillis,
                keys(parts).stream()
                        .map(part -> new UnansweredPart(part, new PartKey(request), sinceSend))
                        .toList());
    }

    private void answer(long part) {
        evidence.addAnswer(new PartKey(part), now);
        now++;
    }

    private List<Set<PartKey>> culprits() {
        return evidence.culprits(now).stream().map(Culprit::parts).toList();
    }

    private static Set<PartKey> keys(long... parts) {
        return Arrays.stream(parts).mapToObj(PartKey::new).collect(Collectors.toSet());
    }
}
