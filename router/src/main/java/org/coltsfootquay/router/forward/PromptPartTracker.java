package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.quarantine.PartKey;
import org.coltsfootquay.decision.quarantine.PartQuarantine;
import org.coltsfootquay.decision.quarantine.Rejection;
import org.coltsfootquay.decision.quarantine.UnansweredPart;
import org.coltsfootquay.decision.timer.TimerService;

/** Relation of one request to the quarantine of prompt parts, over all servers that it is sent to. */
final class PromptPartTracker {

    /** Time after the first event in which a server crashes, if the prompt makes it crash. */
    private static final Duration CONFIRMATION_TIME = Duration.ofMillis(250);

    private final PartQuarantine quarantine;
    private final TimerService timers;
    private final Set<PartKey> sharedParts;
    private final PartKey lastPart;

    /** The shared parts and the last one. */
    private final Set<PartKey> parts;

    /** Number of the next send among those of all routers. */
    private long probe;

    private long sentNanos;
    private boolean answering;
    private boolean answered;
    private long firstEventNanos;

    PromptPartTracker(PartQuarantine quarantine, TimerService timers, ServiceName service, RequestMetadata request) {
        this.quarantine = quarantine;
        this.timers = timers;
        this.sharedParts = PartKey.ofSharedParts(service, request.model(), request.prompt());
        this.lastPart = PartKey.ofLastPart(request.prompt());
        this.parts = new LinkedHashSet<>(sharedParts);
        if (!request.prompt().parts().isEmpty()) {
            parts.add(lastPart);
        }
        this.probe = quarantine.newProbe();
    }

    Set<PartKey> sharedParts() {
        return sharedParts;
    }

    /** Returns why the request must not be sent, or empty if it may be. */
    Optional<Rejection> rejection() {
        return quarantine.check(parts, timers.nowNanos());
    }

    /** Returns whether the request may be sent without a second one with the same suspected part at any server. */
    boolean maySend() {
        return quarantine.tryProbe(probe, sharedParts, timers.nowNanos());
    }

    /** Returns whether the request may be sent to a second server at the same time. */
    boolean mayHedge() {
        return rejection().isEmpty() && !quarantine.isExposureLimited(sharedParts);
    }

    /** Records that the request is sent to a server. */
    void sent() {
        answering = false;
        answered = false;
        sentNanos = timers.nowNanos();
        quarantine.recordSent(parts, sentNanos);
        quarantine.probeSent(probe, sentNanos);
    }

    /** Records that the request is not, or no longer, at a server. */
    void sendEnded() {
        quarantine.probeEnded(probe);
        probe = quarantine.newProbe();
    }

    /** Records that an event of the response was received. */
    void eventReceived() {
        long now = timers.nowNanos();
        if (!answering) {
            answering = true;
            firstEventNanos = now;
        } else if (now - firstEventNanos >= CONFIRMATION_TIME.toNanos()) {
            confirm();
        }
    }

    /** Records that a successful response is complete. */
    void responseCompleted() {
        confirm();
    }

    /** Returns the parts by which the server may have crashed, if it has crashed now. */
    List<UnansweredPart> unansweredParts() {
        if (answered) {
            return List.of();
        }
        Duration sinceSend = Duration.ofNanos(timers.nowNanos() - sentNanos);
        return parts.stream()
                .map(part -> new UnansweredPart(part, lastPart, sinceSend))
                .toList();
    }

    private void confirm() {
        if (!answered) {
            answered = true;
            quarantine.recordAnswer(sharedParts, timers.nowNanos());
            quarantine.recordAnswer(lastPart, timers.nowNanos());
            sendEnded();
        }
    }
}
