package org.coltsfootquay.router.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.rollout.CountKey;
import org.coltsfootquay.decision.rollout.RolloutController;
import org.coltsfootquay.decision.rollout.RolloutReport;
import org.coltsfootquay.decision.rollout.VersionCounts;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.protocol.generated.peer.BeaconRollout;
import org.coltsfootquay.protocol.generated.peer.BeaconVersionCount;

/**
 * Converts reports of roll-outs to entries of beacons; not thread-safe.
 *
 * <p>Counts that have not changed are repeated now and then only, since a beacon may be lost.
 */
final class RolloutCodec {

    /** Number of beacons in which each count is repeated once. */
    private static final int REPEAT_BEACONS = 4;

    /** Counts in an entry, so that it fits into a datagram. */
    private static final int MAX_COUNTS = 8;

    /** Separates the name of a route from the server of the target, which tells one bad server from a version. */
    private static final char SEPARATOR = '\t';

    private final Map<RowKey, Map<CountKey, Long>> sentRequests = new HashMap<>();
    private int round;

    /** Adds the reports of this router to a beacon. */
    void add(Beacon.Builder beacon, Optional<RolloutController> rollouts) {
        rollouts.ifPresent(controller -> beacon.addAllRollouts(next(controller.reports())));
    }

    /** Processes the reports in a beacon. */
    static void receive(Beacon beacon, Optional<RolloutController> rollouts) {
        rollouts.ifPresent(
                controller -> read(beacon).forEach(report -> controller.receive(beacon.getIncarnation(), report)));
    }

    /** Returns the entries of the next beacon; at least one for each report, to show that this router takes part. */
    List<BeaconRollout> next(List<RolloutReport> reports) {
        round++;
        List<BeaconRollout> entries = new ArrayList<>();
        Map<RowKey, Map<CountKey, Long>> sent = new HashMap<>(sentRequests);
        sentRequests.clear();
        for (RolloutReport report : reports) {
            RowKey row = new RowKey(report.service(), report.era(), report.revision());
            Map<CountKey, Long> before = sent.getOrDefault(row, new HashMap<>());
            sentRequests.put(row, before);
            entries.addAll(entries(report, before));
        }
        return entries;
    }

    private List<BeaconRollout> entries(RolloutReport report, Map<CountKey, Long> sent) {
        List<BeaconRollout> entries = new ArrayList<>();
        BeaconRollout.Builder entry = header(report);
        for (Map.Entry<CountKey, VersionCounts> count : report.counts().entrySet()) {
            long requests = count.getValue().requests();
            Long before = sent.put(count.getKey(), requests);
            boolean repeat = Math.floorMod(count.getKey().hashCode() + round, REPEAT_BEACONS) == 0;
            if (repeat || before == null || before != requests) {
                if (entry.getCountsCount() == MAX_COUNTS) {
                    entries.add(entry.build());
                    entry = header(report);
                }
                entry.addCounts(encode(count.getKey(), count.getValue()));
            }
        }
        entries.add(entry.build());
        return entries;
    }

    private static BeaconRollout.Builder header(RolloutReport report) {
        return BeaconRollout.newBuilder()
                .setService(report.service().value())
                .setOrderEra(report.era())
                .setOrderRevision(report.revision())
                .setStopped(report.stopped());
    }

    private static BeaconVersionCount encode(CountKey key, VersionCounts counts) {
        BeaconVersionCount.Builder count = BeaconVersionCount.newBuilder()
                .setRoute(key.target() ? key.route() + SEPARATOR + key.server() : key.route())
                .setTarget(key.target())
                .setRequests(counts.requests())
                .setFailures(counts.failures());
        int last = VersionCounts.BUCKETS - 1;
        while (last >= 0 && counts.latencies()[last] == 0) {
            last--;
        }
        for (int i = 0; i <= last; i++) {
            count.addLatencyCounts(counts.latencies()[i]);
        }
        return count.build();
    }

    /** Returns the reports in a beacon; malformed counts are left out. */
    static List<RolloutReport> read(Beacon beacon) {
        List<RolloutReport> reports = new ArrayList<>();
        for (BeaconRollout entry : beacon.getRolloutsList()) {
            if (entry.getService().isBlank()) {
                continue;
            }
            Map<CountKey, VersionCounts> counts = new HashMap<>();
            for (BeaconVersionCount count : entry.getCountsList()) {
                int separator = count.getRoute().lastIndexOf(SEPARATOR);
                if (count.getTarget() == separator >= 0 && isPlausible(count)) {
                    CountKey key = separator < 0
                            ? new CountKey(count.getRoute(), "")
                            : new CountKey(
                                    count.getRoute().substring(0, separator),
                                    count.getRoute().substring(separator + 1));
                    counts.put(key, decode(count));
                }
            }
            reports.add(new RolloutReport(
                    new ServiceName(entry.getService()),
                    entry.getOrderEra(),
                    entry.getOrderRevision(),
                    entry.getStopped(),
                    counts));
        }
        return reports;
    }

    private static boolean isPlausible(BeaconVersionCount count) {
        return count.getRequests() >= 0
                && count.getFailures() >= 0
                && count.getFailures() <= count.getRequests()
                && count.getLatencyCountsCount() <= VersionCounts.BUCKETS
                && count.getLatencyCountsList().stream()
                        .allMatch(latencies -> latencies >= 0 && latencies <= count.getRequests());
    }

    private static VersionCounts decode(BeaconVersionCount count) {
        long[] latencies = new long[VersionCounts.BUCKETS];
        for (int i = 0; i < count.getLatencyCountsCount(); i++) {
            latencies[i] = count.getLatencyCounts(i);
        }
        return new VersionCounts(count.getRequests(), count.getFailures(), latencies);
    }

    private record RowKey(ServiceName service, long era, long revision) {}
}
