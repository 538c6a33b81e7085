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
            evidence.addCrash(report(new ServerName("late" + i), 1, i, SOUND), now);
        }
        now++;
        answer(SOUND);
        culprits();
        now += 3 * SECOND;
        for (int i = 0; i < 3; i++) {
            evidence.addCrash(report(new ServerName("late" + i), 1, i, SOUND), now);
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
            evidence.addCrash(report(server, 7, 1, SOUND), now);
        }
        assertEquals(List.of(), culprits());
    }

    @Test
    void reportsOfSeveralRoutersAboutOneCrashAreCombined() {
        ServerName server = new ServerName("s");
        assertTrue(evidence.addCrash(report(server, 7, 1, SOUND), now));
        assertTrue(evidence.addCrash(report(server, 7, 2, DEADLY), now));
        assertFalse(evidence.addCrash(report(server, 7, 2, DEADLY), now));
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
            evidence.addCrash(report(new ServerName("s" + i), 1, 99, SOUND), now++);
        }
        assertEquals(List.of(), culprits());
        evidence.addCrash(report(new ServerName("other"), 1, 98, SOUND), now++);
        assertEquals(List.of(keys(SOUND)), culprits());
    }

    @Test
    void oneRequestThatCrashesManyServersIsProved() {
        for (int i = 0; i < CrashEvidence.REQUIRED_CRASHES_IN_DOUBT; i++) {
            evidence.addCrash(report(new ServerName("s" + i), 1, 99, DEADLY), now++);
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
        evidence.addCrash(report(new ServerName("s" + servers++), servers, servers, parts), now);
        now++;
    }

    private static CrashReport report(ServerName server, long startedMillis, long request, long... parts) {
        return new CrashReport(
                server,
                startedMillis,
                keys(parts).stream().collect(Collectors.toMap(part -> part, part -> new PartKey(request))));
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
