package org.coltsfootquay.decision.dispatch;

import org.coltsfootquay.decision.common.RequestClassName;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;

/** Attempt that holds a slot of a server. */
final class GrantedAttempt {

    /** Stages of a flight. */
    enum Stage {
        /** Granted; the entry router has not said that it began to send. */
        GRANTED,
        /** The entry router began to send, or reported output. */
        STARTED,
        /** The grant was taken back because no send was reported in time. */
        LAPSED,
        /** The server went to another owner, which follows the request from now on. */
        HANDED_OVER,
        /** The connection to the entry router was lost. */
        ORPHANED,
        /** The owner asked the entry router to cancel it. */
        PREEMPTED
    }

    final RequestAttempt attempt;
    final RouterId entryRouter;
    final RequestClassName classOfWork;
    final WorkspaceQueue queue;
    final ServerSlots slots;
    final long grantedNanos;
    final long estimatedUnits;

    /** Whether the stream may be cancelled and continued elsewhere; false for non-idempotent classes. */
    final boolean preemptible;

    /** Input units of a resumed request: they were charged to its first attempt and are not charged again. */
    final long prechargedUnits;

    Stage stage;

    /** Service charged: the estimate, until more was produced. */
    long chargedUnits;

    /** Service reported as produced. */
    long producedUnits;

    long stageNanos;

    GrantedAttempt(QueuedRequest request, WorkspaceQueue queue, ServerSlots server, boolean preemptible, long nowNanos) {
        this.attempt = request.attempt();
        this.entryRouter = request.entryRouter();
        this.classOfWork = request.classOfWork();
        this.queue = queue;
        this.slots = server;
        this.preemptible = preemptible;
        this.prechargedUnits = request.resumed() ? request.estimatedInputUnits() : 0;
        this.estimatedUnits = request.estimatedUnits() - prechargedUnits;
        this.stage = Stage.GRANTED;
        this.grantedNanos = nowNanos;
        this.stageNanos = nowNanos;
    }

    /** Request that a former owner granted. */
    GrantedAttempt(InFlightEntry entry, WorkspaceQueue queue, ServerSlots server, long nowNanos) {
        this.attempt = entry.attempt();
        this.entryRouter = entry.entryRouter();
        this.classOfWork = entry.classOfWork();
        this.queue = queue;
        this.slots = server;
        this.preemptible = false;
        this.prechargedUnits = 0;
        this.estimatedUnits = entry.chargedUnits();
        this.chargedUnits = entry.chargedUnits();
        this.stage = Stage.STARTED;
        this.grantedNanos = nowNanos;
        this.stageNanos = nowNanos;
    }

    /** Tells whether the request counts among the requests in flight on its server. */
    boolean holdsSlot() {
        return stage != Stage.LAPSED && stage != Stage.HANDED_OVER;
    }
}
