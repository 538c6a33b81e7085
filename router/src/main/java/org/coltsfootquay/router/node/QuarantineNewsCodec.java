package org.coltsfootquay.router.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.quarantine.CrashReport;
import org.coltsfootquay.decision.quarantine.PartKey;
import org.coltsfootquay.decision.quarantine.ProbeClaim;
import org.coltsfootquay.decision.quarantine.QuarantineNews;
import org.coltsfootquay.decision.quarantine.UnansweredPart;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.protocol.generated.peer.BeaconAnswer;
import org.coltsfootquay.protocol.generated.peer.BeaconCrash;
import org.coltsfootquay.protocol.generated.peer.BeaconProbe;

/** Converts news about crashes to and from the fields of beacons. */
final class QuarantineNewsCodec {

    /** Ages above this are cut, since larger ones overflow a duration in nanoseconds; far above any retention time. */
    private static final long MAX_AGE_MILLIS = Duration.ofDays(1).toMillis();

    /** Parts of a crash in one entry, which has to fit into a datagram. */
    private static final int MAX_PARTS_PER_ENTRY = 32;

    private QuarantineNewsCodec() {}

    /** Adds news to a beacon. */
    static void add(Beacon.Builder beacon, QuarantineNews news) {
        news.crashes().forEach((report, age) -> addCrash(beacon, report, age));
        news.answers()
                .forEach((part, age) -> beacon.addAnswers(
                        BeaconAnswer.newBuilder().setPart(part.hash()).setAgeMillis(age.toMillis())));
        news.claims().forEach(claim -> addClaim(beacon, claim));
    }

    /** Adds a claim, in several entries if it has many parts; a receiver combines them. */
    private static void addClaim(Beacon.Builder beacon, ProbeClaim claim) {
        List<PartKey> parts = List.copyOf(claim.parts());
        for (int from = 0; from < parts.size(); from += MAX_PARTS_PER_ENTRY) {
            BeaconProbe.Builder probe = BeaconProbe.newBuilder()
                    .setId(claim.id())
                    .setSent(claim.state() == ProbeClaim.State.SENT)
                    .setEnded(claim.state() == ProbeClaim.State.ENDED);
            parts.subList(from, Math.min(from + MAX_PARTS_PER_ENTRY, parts.size()))
                    .forEach(part -> probe.addParts(part.hash()));
            beacon.addProbes(probe);
        }
    }

    /** Adds a crash, in several entries if it has many parts; a receiver combines them. */
    private static void addCrash(Beacon.Builder beacon, CrashReport report, Duration age) {
        for (int from = 0; from < report.parts().size(); from += MAX_PARTS_PER_ENTRY) {
            BeaconCrash.Builder crash = BeaconCrash.newBuilder()
                    .setServer(report.server().value())
                    .setStartedMillis(report.startedMillis())
                    .setAgeMillis(age.toMillis());
            int to = Math.min(from + MAX_PARTS_PER_ENTRY, report.parts().size());
            for (UnansweredPart part : report.parts().subList(from, to)) {
                long sentBeforeMillis =
                        Math.min(MAX_AGE_MILLIS, part.sinceSend().toMillis());
                crash.addParts(part.part().hash())
                        .addLastParts(part.request().hash())
                        .addSentBeforeMillis((int) sentBeforeMillis);
            }
            beacon.addCrashes(crash);
        }
    }

    /** Returns the news in a beacon; crashes without a server or parts are left out. */
    static QuarantineNews read(Beacon beacon) {
        Map<CrashReport, Duration> crashes = new HashMap<>();
        for (BeaconCrash crash : beacon.getCrashesList()) {
            List<UnansweredPart> parts = new ArrayList<>();
            for (int i = 0; i < Math.min(crash.getPartsCount(), crash.getLastPartsCount()); i++) {
                // A sender of an earlier version does not tell when it sent the request.
                Duration sinceSend = i < crash.getSentBeforeMillisCount()
                        ? age(crash.getSentBeforeMillis(i))
                        : Duration.ofMillis(MAX_AGE_MILLIS);
                parts.add(new UnansweredPart(
                        new PartKey(crash.getParts(i)), new PartKey(crash.getLastParts(i)), sinceSend));
            }
            if (!crash.getServer().isBlank() && !parts.isEmpty()) {
                CrashReport report =
                        new CrashReport(new ServerName(crash.getServer()), crash.getStartedMillis(), parts);
                crashes.put(report, age(crash.getAgeMillis()));
            }
        }
        Map<PartKey, Duration> answers = new HashMap<>();
        for (BeaconAnswer answer : beacon.getAnswersList()) {
            answers.put(new PartKey(answer.getPart()), age(answer.getAgeMillis()));
        }
        List<ProbeClaim> claims = beacon.getProbesList().stream()
                .map(probe -> new ProbeClaim(
                        probe.getId(),
                        probe.getPartsList().stream().map(PartKey::new).collect(Collectors.toSet()),
                        state(probe)))
                .toList();
        return new QuarantineNews(crashes, answers, claims);
    }

    private static ProbeClaim.State state(BeaconProbe probe) {
        if (probe.getEnded()) {
            return ProbeClaim.State.ENDED;
        }
        return probe.getSent() ? ProbeClaim.State.SENT : ProbeClaim.State.ANNOUNCED;
    }

    private static Duration age(long millis) {
        boolean valid = millis >= 0 && millis < MAX_AGE_MILLIS;
        return Duration.ofMillis(valid ? millis : MAX_AGE_MILLIS);
    }
}
