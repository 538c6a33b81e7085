package org.coltsfootquay.cli.measure;

import java.util.List;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.WorkspaceId;

/** Request of a simulated caller, over all its attempts. */
final class SimRequest {

    /** Service units of an output token; an input token counts one. */
    static final int OUTPUT_UNITS = 2;

    final SimWorkspace workspace;
    final SimClass classOfWork;
    final int input;
    final int output;
    final List<Long> prefixHashes;
    final long createdNanos;
    final SimRouter entry;
    RequestAttempt attempt;
    SimRouter owner;
    FakeEngine engine;
    boolean resumed;

    /** Output tokens that the caller has received. */
    double tokens;

    double tokensAtAttempt;

    /** Output tokens that the statistics have counted. */
    double tokensCounted;

    double prefillMillisLeft;
    boolean inputCharged;
    long firstTokenNanos;
    long sentNanos;
    long attemptFirstTokenNanos;

    /** Service units of this attempt already reported to the owner. */
    long reportedUnits;

    double worstIntervalMillis;

    SimRequest(
            String id,
            SimWorkspace workspace,
            SimClass classOfWork,
            int input,
            int output,
            SimRouter entry,
            long createdNanos) {
        this.attempt = new RequestAttempt(new RequestId(id), 1);
        this.workspace = workspace;
        this.classOfWork = classOfWork;
        this.input = input;
        this.output = output;
        this.prefixHashes = List.of((long) workspace.id.hashCode());
        this.entry = entry;
        this.createdNanos = createdNanos;
    }

    WorkspaceId workspaceId() {
        return workspace.id;
    }

    /** Service units produced in this attempt, with the input that was processed again after an interruption. */
    long attemptUnits() {
        return (inputCharged ? input : 0) + Math.round(OUTPUT_UNITS * (tokens - tokensAtAttempt));
    }

    void beginAttempt() {
        tokensAtAttempt = tokens;
        inputCharged = false;
        reportedUnits = 0;
        worstIntervalMillis = 0;
        attemptFirstTokenNanos = 0;
    }
}
