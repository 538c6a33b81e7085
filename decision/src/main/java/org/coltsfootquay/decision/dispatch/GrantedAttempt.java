package org.coltsfootquay.decision.dispatch;

import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;

/** Attempt that was granted a slot of a server. */
final class GrantedAttempt {

    /** Stages of a granted attempt. */
    enum Stage {
        /** Granted; the entry router has not reported that it started to send. */
        GRANTED,
        /** The entry router started to send, or reported output. */
        STARTED,
        /** The grant was revoked because the start of the send was not reported in time. */
        LAPSED,
        /** The server was transferred to another owner, which now tracks the request. */
        HANDED_OVER,
        /** The connection to the entry router was lost. */
        ORPHANED,
        /** The owner asked the entry router to cancel it. */
        PREEMPTED
    }

    final RequestAttempt attempt;
    final RouterId entryRouter;
    final ClassOfWorkName classOfWork;
    final WorkspaceQueue queue;
    final ServerSlots slots;
    final long grantedNanos;
    final long estimatedUnits;

    /** Whether the stream may be cancelled and resumed on another server; false for non-idempotent classes. */
    final boolean preemptible;

    /** Input units of a resumed request, which were charged for its first attempt and are not charged again. */
    final long prechargedUnits;

    Stage stage;

    /** Service units charged: the estimate, or the units produced once they exceed it. */
    long chargedUnits;

    /** Service units reported as produced. */
    long producedUnits;

    long stageNanos;

    GrantedAttempt(QueuedRequest request, WorkspaceQueue queue, ServerSlots slots, boolean preemptible, long nowNanos) {
        this.attempt = request.attempt();
        this.entryRouter = request.entryRouter();
        this.classOfWork = request.classOfWork();
        this.queue = queue;
        this.slots = slots;
        this.preemptible = preemptible;
        this.prechargedUnits = request.resumed() ? request.estimatedInputUnits() : 0;
        this.estimatedUnits = request.estimatedUnits() - prechargedUnits;
        this.stage = Stage.GRANTED;
        this.grantedNanos = nowNanos;
        this.stageNanos = nowNanos;
    }

    /** Creates an attempt that a previous owner granted. */
    GrantedAttempt(InFlightEntry entry, WorkspaceQueue queue, ServerSlots slots, long nowNanos) {
        this.attempt = entry.attempt();
        this.entryRouter = entry.entryRouter();
        this.classOfWork = entry.classOfWork();
        this.queue = queue;
        this.slots = slots;
        this.preemptible = false;
        this.prechargedUnits = 0;
        this.estimatedUnits = entry.chargedUnits();
        this.chargedUnits = entry.chargedUnits();
        this.stage = Stage.STARTED;
        this.grantedNanos = nowNanos;
        this.stageNanos = nowNanos;
    }

    /** Returns whether the attempt counts as in flight on its server. */
    boolean holdsSlot() {
        return stage != Stage.LAPSED && stage != Stage.HANDED_OVER;
    }
}
