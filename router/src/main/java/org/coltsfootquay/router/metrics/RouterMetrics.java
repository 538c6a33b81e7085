package org.coltsfootquay.router.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Metrics of one router; thread-safe.
 *
 * <p>A metric name has the form {@code name} or <code>name{label="value"}</code> of the Prometheus text format. Label
 * values come from the configuration or from fixed lists, so that callers cannot create time series.
 */
public final class RouterMetrics {

    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    /** Maximum latency that is recorded, one hour; longer latencies are recorded as this value. */
    private static final long MAX_MICROS = 3_600_000_000L;

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<String, ConcurrentHistogram> latencies = new ConcurrentHashMap<>();

    /** Creates metrics without any time series. */
    public RouterMetrics() {
        // A time series is created on first use.
    }

    /**
     * Increments a counter by one.
     *
     * @param name name of the counter
     */
    public void count(String name) {
        counter(name).inc();
    }

    /**
     * Returns a counter.
     *
     * @param name name of the counter
     * @return counter, created on first use
     */
    public Counter counter(String name) {
        return registry.counter(name);
    }

    /**
     * Registers a gauge, which is read when metrics are served; has no effect if the name is already registered.
     *
     * @param name name of the gauge
     * @param value supplies the current value; called on event loops
     */
    public void gauge(String name, Supplier<? extends Number> value) {
        Gauge<Number> gauge = value::get;
        registry.gauge(name, () -> gauge);
    }

    /**
     * Removes a gauge; has no effect if it is not registered.
     *
     * @param name name of the gauge
     */
    public void removeGauge(String name) {
        registry.remove(name);
    }

    /**
     * Records a latency.
     *
     * @param name name of the metric; its part before the labels ends in {@code _seconds}
     * @param nanos latency in nanoseconds
     */
    public void recordLatency(String name, long nanos) {
        latencies
                .computeIfAbsent(name, key -> new ConcurrentHistogram(1, MAX_MICROS, 2))
                .recordValue(Math.max(0, Math.min(MAX_MICROS, nanos / 1_000)));
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @return text
     */
    public String prometheusText() {
        StringBuilder text = new StringBuilder(4096);
        String lastFamily = "";
        for (Map.Entry<String, Counter> entry : new TreeMap<>(registry.getCounters()).entrySet()) {
            lastFamily = typeLine(text, lastFamily, entry.getKey(), "counter");
            text.append(entry.getKey())
                    .append(' ')
                    .append(entry.getValue().getCount())
                    .append('\n');
        }
        for (Map.Entry<String, ?> entry : new TreeMap<>(registry.getGauges()).entrySet()) {
            lastFamily = typeLine(text, lastFamily, entry.getKey(), "gauge");
            text.append(entry.getKey())
                    .append(' ')
                    .append(((Gauge<?>) entry.getValue()).getValue())
                    .append('\n');
        }
        for (Map.Entry<String, ConcurrentHistogram> entry : new TreeMap<>(latencies).entrySet()) {
            ConcurrentHistogram histogram = entry.getValue().copy();
            String name = entry.getKey();
            lastFamily = typeLine(text, lastFamily, name, "summary");
            for (double quantile : QUANTILES) {
                text.append(withLabel(name, "quantile=\"" + quantile + "\""))
                        .append(' ')
                        .append(histogram.getValueAtPercentile(quantile * 100) / 1e6)
                        .append('\n');
            }
            text.append(withSuffix(name, "_count"))
                    .append(' ')
                    .append(histogram.getTotalCount())
                    .append('\n');
        }
        return text.toString();
    }

    /**
     * Returns all metrics as JSON.
     *
     * @return JSON object with counters, gauges and latencies
     */
    public String toJson() {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ObjectNode counters = root.putObject("counters");
        registry.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
        ObjectNode gauges = root.putObject("gauges");
        registry.getGauges().forEach((name, gauge) -> {
            if (gauge.getValue() instanceof Number number) {
                gauges.put(name, number.doubleValue());
            }
        });
        ObjectNode summaries = root.putObject("latencies");
        new TreeMap<>(latencies).forEach((name, concurrent) -> {
            ConcurrentHistogram histogram = concurrent.copy();
            ObjectNode summary = summaries.putObject(name);
            summary.put("count", histogram.getTotalCount());
            for (double quantile : QUANTILES) {
                summary.put("p" + Math.round(quantile * 100), histogram.getValueAtPercentile(quantile * 100) / 1e6);
            }
            summary.put("max", histogram.getMaxValue() / 1e6);
        });
        return root.toString();
    }

    private static String typeLine(StringBuilder text, String lastFamily, String name, String type) {
        int brace = name.indexOf('{');
        String family = brace < 0 ? name : name.substring(0, brace);
        if (!family.equals(lastFamily)) {
            text.append("# TYPE ").append(family).append(' ').append(type).append('\n');
        }
        return family;
    }

    private static String withLabel(String name, String label) {
        return name.endsWith("}") ? name.substring(0, name.length() - 1) + "," + label + "}" : name + "{" + label + "}";
    }

    private static String withSuffix(String name, String suffix) {
        int brace = name.indexOf('{');
        return brace < 0 ? name + suffix : name.substring(0, brace) + suffix + name.substring(brace);
    }
}
