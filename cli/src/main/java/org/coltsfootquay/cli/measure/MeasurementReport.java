package org.coltsfootquay.cli.measure;

import java.util.List;
import java.util.Map;

/**
 * Result of a measurement.
 *
 * @param scenario scenario
 * @param policy order policy
 * @param size size
 * @param seed seed
 * @param simulatedSeconds measured part of the run, without the time to warm up
 * @param fairnessGap largest difference in service of two workspaces while both were backlogged, in largest requests
 * @param gapBound bound on the gap, in largest requests
 * @param utilisation output tokens produced, as a part of what warm engines can produce within the target
 * @param centralUtilisation the same for one central queue that knows what each engine can handle
 * @param idleWhileWaiting part of the capacity-time that was free while work waited
 * @param controlBytesPerSecond bytes a second that a router sent for reports, totals and probes, on average
 * @param largestControlBytesPerSecond the same for the router that sent most
 * @param controlCpuShare processor time of the decision code of a router per simulated second, of the busiest router
 * @param zoneChange service while a zone left and returned
 * @param coldExcess largest number of requests on a cold engine above what it could handle
 * @param preemptions streams cancelled for reserved capacity
 * @param violations violations of guarantees that the decision library noticed itself
 * @param latencies time to first token by class, and by class and phase
 * @param targets targets and whether they were met
 */
public record MeasurementReport(
        String scenario,
        String policy,
        String size,
        long seed,
        double simulatedSeconds,
        double fairnessGap,
        double gapBound,
        double utilisation,
        double centralUtilisation,
        double idleWhileWaiting,
        double controlBytesPerSecond,
        double largestControlBytesPerSecond,
        double controlCpuShare,
        ZoneChange zoneChange,
        int coldExcess,
        int preemptions,
        Map<String, Long> violations,
        Map<String, Latency> latencies,
        List<TargetResult> targets) {

    /** Copies the collections. */
    public MeasurementReport {
        violations = Map.copyOf(violations);
        latencies = java.util.Collections.unmodifiableMap(new java.util.TreeMap<>(latencies));
        targets = List.copyOf(targets);
    }

    /**
     * Returns whether all targets were met.
     *
     * @return true if no target was missed
     */
    public boolean met() {
        return targets.stream().allMatch(TargetResult::met);
    }

    /**
     * Service while a zone leaves and returns.
     *
     * @param refused requests refused
     * @param cut streams interrupted
     * @param steadyP95Millis 95th percentile of the time to first token of questions before
     * @param changeP95Millis the same from the leave to the end
     */
    public record ZoneChange(int refused, int cut, long steadyP95Millis, long changeP95Millis) {}

    /**
     * Time to first token.
     *
     * @param count requests
     * @param p50Millis median
     * @param p95Millis 95th percentile
     * @param p99Millis 99th percentile
     */
    public record Latency(long count, long p50Millis, long p95Millis, long p99Millis) {}

    /**
     * Target and its result.
     *
     * @param name name
     * @param value measured value
     * @param limit largest value that meets the target
     * @param met whether the target was met
     */
    public record TargetResult(String name, double value, double limit, boolean met) {}
}
