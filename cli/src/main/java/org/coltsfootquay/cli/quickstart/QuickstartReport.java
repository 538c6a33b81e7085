package org.coltsfootquay.cli.quickstart;

import java.util.List;
import java.util.Map;

/**
 * Measures of a quickstart run; the units stand in the names or in {@code docs/measures.md}.
 *
 * @param seconds length of the load
 * @param requests calls that ended
 * @param outcomes calls by outcome
 * @param refusals refused, failed or broken calls by code
 * @param fairnessGap largest difference in service of two backlogged workspaces, in largest requests
 * @param gapBound bound on the gap, in largest requests
 * @param utilisation part of the engine slots up to the knee that were busy while work waited
 * @param idleWhileWaiting part of the engine slots that were free while requests waited
 * @param controlBytesPerSecond control traffic of one router, sent and received, in bytes a second
 * @param requestBytesPerSecond messages of single requests of one router, in bytes a second
 * @param bytesPerSecondByKind the same by kind of message
 * @param controlCpuShare processor time of the control thread of one router, as a part of a core
 * @param zoneChange service while a zone left and returned
 * @param latencies latencies by class of work
 * @param reservedFirstTokenP95Millis 95th percentile of the time to first token of the reserved workspace
 * @param violations what broke a guarantee; empty after a good run
 */
record QuickstartReport(
        long seconds,
        long requests,
        Map<String, Long> outcomes,
        Map<String, Long> refusals,
        double fairnessGap,
        double gapBound,
        double utilisation,
        double idleWhileWaiting,
        double controlBytesPerSecond,
        double requestBytesPerSecond,
        Map<String, Double> bytesPerSecondByKind,
        double controlCpuShare,
        ZoneChange zoneChange,
        Map<String, Latency> latencies,
        long reservedFirstTokenP95Millis,
        List<String> violations) {

    /** Copies the collections. */
    QuickstartReport {
        outcomes = Map.copyOf(outcomes);
        refusals = Map.copyOf(refusals);
        bytesPerSecondByKind = Map.copyOf(bytesPerSecondByKind);
        latencies = Map.copyOf(latencies);
        violations = List.copyOf(violations);
    }

    /**
     * Service while a zone left and returned.
     *
     * @param zone zone
     * @param refused calls refused in that time
     * @param cut calls that were cut in that time
     * @param lateStarts requests that started on an engine of the zone later than 2 s after the order
     * @param steadyFirstTokenP95Millis 95th percentile of the time to first token before
     * @param changeFirstTokenP95Millis the same, from the order to 5 s after the return
     */
    record ZoneChange(
            String zone,
            long refused,
            long cut,
            long lateStarts,
            long steadyFirstTokenP95Millis,
            long changeFirstTokenP95Millis) {}

    /**
     * Latency of a class of work.
     *
     * @param count completed calls
     * @param firstOutputP50Millis median time to the first token or byte
     * @param firstOutputP95Millis 95th percentile of the time to the first token or byte
     * @param totalP95Millis 95th percentile of the time to the end
     * @param tokenGapP95Millis 95th percentile over calls of the longest time between tokens
     */
    record Latency(
            long count,
            long firstOutputP50Millis,
            long firstOutputP95Millis,
            long totalP95Millis,
            long tokenGapP95Millis) {}
}
