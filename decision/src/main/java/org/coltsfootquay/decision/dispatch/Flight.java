package org.coltsfootquay.decision.dispatch;

import org.coltsfootquay.decision.common.ClassName;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;

/** Attempt that holds a slot of a server. */
final class Flight {

    /** Stages of a flight. */
    enum Stage {
        /** Granted; the entry router has not said that it began to send. */
        GRANTED,
        /** The entry router began to send, or reported output. */
        STARTED,
        /** The grant was taken back because no send was reported in time. */
        LAPSED,
        /** The connection to the entry router was lost. */
        ORPHANED,
        /** The owner asked the entry router to cancel it. */
        PREEMPTED
    }

    final RequestAttempt attempt;
    final RouterId entry;
    final ClassName classOfWork;
    final WorkspaceQueue queue;
    final ServerSlots server;
    final long grantedNanos;
    final long estimatedUnits;
    Stage stage;
    long chargedUnits;
    long stageNanos;

    Flight(
            RequestAttempt attempt,
            RouterId entry,
            ClassName classOfWork,
            WorkspaceQueue queue,
            ServerSlots server,
            long estimatedUnits,
            Stage stage,
            long nowNanos) {
        this.attempt = attempt;
        this.entry = entry;
        this.classOfWork = classOfWork;
        this.queue = queue;
        this.server = server;
        this.estimatedUnits = estimatedUnits;
        this.stage = stage;
        this.grantedNanos = nowNanos;
        this.stageNanos = nowNanos;
    }
}
