package org.coltsfootquay.cli.quickstart;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.coltsfootquay.cli.load.CallOutcome;
import org.coltsfootquay.cli.load.CallResult;

/** Figures from the results of calls. */
final class ResultUtils {

    private ResultUtils() {}

    static Map<String, Long> countBy(List<CallResult> results, Function<CallResult, String> key) {
        return new TreeMap<>(results.stream().collect(Collectors.groupingBy(key, Collectors.counting())));
    }

    static List<CallResult> select(List<CallResult> results, Predicate<CallResult> condition) {
        return results.stream().filter(condition).toList();
    }

    static List<CallResult> completed(List<CallResult> results) {
        return select(results, result -> result.outcome() == CallOutcome.COMPLETED);
    }

    /** Returns the value that {@code part} of the results do not exceed; 0 without results. */
    static long percentile(List<CallResult> results, ToLongFunction<CallResult> value, double part) {
        long[] sorted = results.stream().mapToLong(value).sorted().toArray();
        if (sorted.length == 0) {
            return 0;
        }
        int index = (int) Math.ceil(part * sorted.length) - 1;
        return sorted[Math.max(0, Math.min(sorted.length - 1, index))];
    }

    static Map<String, QuickstartReport.Latency> latencies(List<CallResult> results) {
        Map<String, List<CallResult>> byClass = completed(results).stream()
                .collect(Collectors.groupingBy(CallResult::classOfWork, TreeMap::new, Collectors.toList()));
        Map<String, QuickstartReport.Latency> latencies = new TreeMap<>();
        byClass.forEach((name, calls) -> latencies.put(
                name,
                new QuickstartReport.Latency(
                        calls.size(),
                        percentile(calls, CallResult::firstOutputMillis, 0.5),
                        percentile(calls, CallResult::firstOutputMillis, 0.95),
                        percentile(calls, CallResult::totalMillis, 0.95),
                        percentile(calls, CallResult::longestGapMillis, 0.95))));
        return latencies;
    }

    static boolean isOneOf(CallResult result, CallOutcome... outcomes) {
        return Arrays.asList(outcomes).contains(result.outcome());
    }
}
