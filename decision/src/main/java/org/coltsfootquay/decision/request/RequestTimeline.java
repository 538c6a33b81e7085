package org.coltsfootquay.decision.request;

import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timeline.TimelineSink;

/** Writes the decisions of a flow to the time line with the identifiers that join them. */
final class RequestTimeline {

    private static final int COMMON_FIELDS = 6;

    private final CallerRequest request;
    private final TimelineSink sink;

    RequestTimeline(CallerRequest request, TimelineSink sink) {
        this.request = request;
        this.sink = sink;
    }

    void record(EventKind kind, RequestAttempt attempt, Object... namesAndValues) {
        if (sink == TimelineSink.NONE) {
            return;
        }
        Object[] fields = new Object[COMMON_FIELDS + namesAndValues.length];
        fields[0] = "request";
        fields[1] = request.id();
        fields[2] = "attempt";
        fields[3] = attempt == null ? 0 : attempt.attempt();
        fields[4] = "workspace";
        fields[5] = request.workspace();
        System.arraycopy(namesAndValues, 0, fields, COMMON_FIELDS, namesAndValues.length);
        sink.record(TimelineEvent.of(kind, fields));
    }
}
