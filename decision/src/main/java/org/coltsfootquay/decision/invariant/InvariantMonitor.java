package org.coltsfootquay.decision.invariant;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timeline.TimelineSink;

/** Counts violations of the guarantees and records each with the identifiers that explain it; thread-safe. */
public final class InvariantMonitor {

    private final TimelineSink timeline;
    private final Map<Guarantee, AtomicLong> counts = new EnumMap<>(Guarantee.class);

    /**
     * Creates a monitor without violations.
     *
     * @param timeline receiver of one event for each violation
     */
    public InvariantMonitor(TimelineSink timeline) {
        this.timeline = ArgumentUtils.requireValue(timeline, "timeline");
        for (Guarantee guarantee : Guarantee.values()) {
            counts.put(guarantee, new AtomicLong());
        }
    }

    /**
     * Records a violation.
     *
     * @param guarantee guarantee that was violated
     * @param reason what was found
     * @param namesAndValues identifiers and figures, names and values in turn
     * @throws IllegalArgumentException if the number of names and values is odd
     */
    public void recordViolation(Guarantee guarantee, String reason, Object... namesAndValues) {
        counts.get(guarantee).incrementAndGet();
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("guarantee", guarantee.name());
        fields.put("reason", reason);
        fields.putAll(
                TimelineEvent.of(EventKind.INVARIANT_VIOLATED, namesAndValues).fields());
        timeline.record(new TimelineEvent(EventKind.INVARIANT_VIOLATED, fields));
    }

    /**
     * Returns the violations of a guarantee since the start.
     *
     * @param guarantee guarantee
     * @return number of violations
     */
    public long count(Guarantee guarantee) {
        return counts.get(guarantee).get();
    }

    /**
     * Returns the violations of all guarantees since the start.
     *
     * @return number of violations
     */
    public long total() {
        return counts.values().stream().mapToLong(AtomicLong::get).sum();
    }
}
