package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.admission.AdmissionDecision;
import org.coltsfootquay.decision.admission.AdmissionDecision.Reason;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.quarantine.PartKey;
import org.coltsfootquay.decision.quarantine.Rejection;
import org.coltsfootquay.decision.route.Route;
import org.coltsfootquay.decision.selection.Prompt;
import org.coltsfootquay.decision.selection.SelectedServer;
import org.coltsfootquay.decision.selection.ServerLoad;
import org.coltsfootquay.decision.waiting.WaitingRequest;
import org.coltsfootquay.router.log.EventLog;

/** Log events of one request; each has the request id, so that the {@code explain} command finds them. */
final class RelayLog {

    private static final EventLog LOG = EventLog.of(RequestRelay.class);

    private static final String NONE = "none";

    private final String requestId;
    private final Route route;
    private final String workspace;

    RelayLog(String requestId, Route route, Optional<WorkspaceId> workspace) {
        this.requestId = requestId;
        this.route = route;
        this.workspace = workspace.map(WorkspaceId::value).orElse(NONE);
    }

    void notAdmitted(SelectedServer selectedServer, AdmissionDecision decision, ServerLoad load) {
        logDecision(
                "request_not_admitted",
                selectedServer,
                decision,
                "queueMs",
                selectedServer.queueTime().toMillis(),
                "expectedMs",
                selectedServer.expectedLatency().toMillis(),
                "targetMs",
                route.target().toMillis(),
                "load",
                load.requests(),
                "slots",
                selectedServer.entry().slots());
    }

    /**
     * Logs why a request that waits, or has waited at this router, is admitted.
     *
     * @param waited time that it has waited at this router
     */
    void admitted(SelectedServer selectedServer, AdmissionDecision decision, Duration waited) {
        if (decision.reason() != Reason.NO_WAIT
                || !waited.isZero()
                || !selectedServer.slotWaitTime().isZero()) {
            logDecision("request_admitted", selectedServer, decision, "waitedMs", waited.toMillis());
        }
    }

    /** Logs why a request has to wait. */
    void waiting(SelectedServer selectedServer, AdmissionDecision decision, int priority) {
        logDecision("request_waiting", selectedServer, decision, "priority", priority);
    }

    /** Logs that a request leaves the queue without being sent. */
    void waitedInVain(Duration waited, WaitingRequest.Refusal reason) {
        LOG.info("request_waited_in_vain", "request", requestId, "waitedMs", waited.toMillis(), "reason", reason);
    }

    private void logDecision(
            String event, SelectedServer selectedServer, AdmissionDecision decision, Object... fields) {
        List<Object> all = new ArrayList<>(List.of(
                "request",
                requestId,
                "server",
                selectedServer.entry().server(),
                "reason",
                decision.reason(),
                "waitMs",
                selectedServer.waitTime().toMillis(),
                "meanWaitMs",
                selectedServer.meanWaitTime().toMillis(),
                "slotWaitMs",
                selectedServer.slotWaitTime().toMillis(),
                "meanSlotWaitMs",
                selectedServer.meanSlotWaitTime().toMillis(),
                "workspace",
                workspace,
                "dispatched",
                (long) decision.dispatchedTokens(),
                "share",
                (long) decision.fairShare()));
        all.addAll(List.of(fields));
        LOG.info(event, all.toArray());
    }

    void quarantined(Rejection rejection) {
        LOG.info(
                "request_quarantined",
                "request",
                requestId,
                "parts",
                rejection.parts(),
                "crashes",
                rejection.crashes(),
                "settled",
                rejection.settled());
    }

    void waitingForProbe(Set<PartKey> parts) {
        LOG.info("request_waits_for_probe", "request", requestId, "parts", parts);
    }

    void unreachable(ServerName server, String reason) {
        LOG.warn("server_unreachable", "request", requestId, "server", server, "reason", reason);
    }

    void sent(
            SelectedServer selectedServer,
            ServerConnection connection,
            Prompt prompt,
            int send,
            int load,
            long configuration) {
        LOG.info(
                "request_sent",
                "request",
                requestId,
                "server",
                selectedServer.entry().server(),
                "connection",
                connection.number(),
                "send",
                send,
                "expectedMs",
                selectedServer.expectedLatency().toMillis(),
                "newTokens",
                selectedServer.prefillTokens(),
                "missedTokens",
                Math.max(0, selectedServer.prefillTokens() - (prompt.tokens() - prompt.sharedTokens())),
                "waitMs",
                selectedServer.waitTime().toMillis(),
                "load",
                load,
                "configuration",
                configuration);
    }

    /** Logs that a late request is sent to a second server too. */
    void hedged(ServerName server, Duration sinceFirst, long tokens) {
        LOG.info(
                "request_hedged",
                "request",
                requestId,
                "server",
                server,
                "afterMs",
                sinceFirst.toMillis(),
                "newTokens",
                tokens);
    }

    /** Logs what became of a hedge. */
    void hedgeEnded(ServerName server, String outcome, Duration time) {
        LOG.info("hedge_ended", "request", requestId, "server", server, "outcome", outcome, "afterMs", time.toMillis());
    }

    void responseFailed(ServerName server, String cause, Optional<String> lastEvent, ConnectionTrace trace) {
        warn("answer_broken", trace, "server", server, "cause", cause, "events", lastEvent.orElse(NONE));
    }

    void serverRefused(ServerName server, int status) {
        LOG.info("server_refused", "request", requestId, "server", server, "status", status);
    }

    void serverTimedOut(ServerName server, ConnectionTrace trace) {
        warn("server_silent", trace, "server", server);
    }

    void retried(String cause, int sends) {
        LOG.info("request_repeated", "request", requestId, "cause", cause, "sends", sends);
    }

    void completed(String outcome, int status, int sends, long tokens, Optional<Duration> first, Duration total) {
        LOG.info(
                "request_done",
                "request",
                requestId,
                "outcome",
                outcome,
                "status",
                status,
                "route",
                route.name(),
                "workspace",
                workspace,
                "sends",
                sends,
                "tokens",
                tokens,
                "firstMs",
                first.map(Duration::toMillis).orElse(-1L),
                "totalMs",
                total.toMillis());
    }

    /** Logs an event of the request with what its connection has carried. */
    private void warn(String event, ConnectionTrace trace, Object... fields) {
        List<Object> all = new ArrayList<>(List.of("request", requestId));
        all.addAll(List.of(fields));
        all.addAll(List.of(
                "connection",
                trace.connection(),
                "requests",
                trace.requests(),
                "bytes",
                trace.receivedBytes(),
                "otherResponses",
                trace.otherResponses(),
                "otherRequest",
                trace.otherRequest().isEmpty() ? NONE : trace.otherRequest(),
                "defect",
                trace.defect().isEmpty() ? NONE : trace.defect()));
        LOG.warn(event, all.toArray());
    }
}
