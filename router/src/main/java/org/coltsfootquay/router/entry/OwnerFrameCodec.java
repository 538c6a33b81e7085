package org.coltsfootquay.router.entry;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.dispatch.EndReport;
import org.coltsfootquay.decision.dispatch.RefusalCode;
import org.coltsfootquay.decision.request.CallerRequest;
import org.coltsfootquay.decision.request.RequestAction;
import org.coltsfootquay.decision.request.RequestEvent;
import org.coltsfootquay.protocol.generated.Enqueue;
import org.coltsfootquay.protocol.generated.Finished;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.protocol.generated.Grant;
import org.coltsfootquay.protocol.generated.InFlight;
import org.coltsfootquay.protocol.generated.InFlightRequest;
import org.coltsfootquay.protocol.generated.Progress;
import org.coltsfootquay.protocol.generated.Refuse;
import org.coltsfootquay.protocol.generated.Started;
import org.coltsfootquay.protocol.generated.Withdraw;

/** Translation between the actions and events of flows and the frames exchanged with owners. */
final class OwnerFrameCodec {

    private OwnerFrameCodec() {}

    static Frame enqueue(CallerRequest request, RequestAction.EnqueueAtOwner action, long configurationVersion) {
        Enqueue.Builder enqueue = Enqueue.newBuilder()
                .setRequest(action.attempt().request().value())
                .setAttempt(action.attempt().attempt())
                .setWorkspace(request.workspace().value())
                .setService(request.service().value())
                .setClassOfWork(request.classOfWork().name().value())
                .setEstimatedInputUnits(request.estimatedInputUnits())
                .setEstimatedOutputUnits(request.estimatedOutputUnits())
                .setRemainingMillis(action.remainingToTarget().toMillis())
                .setPatienceMillis(Math.max(0, action.patience().toMillis()))
                .addAllPrefixHashes(request.prefixHashes())
                .setResumed(action.resumed())
                .setConfigurationVersion(configurationVersion);
        action.excludedServers().forEach(server -> enqueue.addExcludedServers(server.value()));
        return Frame.newBuilder().setEnqueue(enqueue).build();
    }

    static Frame withdraw(RequestAttempt attempt, String reason) {
        return Frame.newBuilder()
                .setWithdraw(Withdraw.newBuilder()
                        .setRequest(attempt.request().value())
                        .setAttempt(attempt.attempt())
                        .setReason(reason))
                .build();
    }

    static Frame started(RequestAttempt attempt) {
        return Frame.newBuilder()
                .setStarted(Started.newBuilder()
                        .setRequest(attempt.request().value())
                        .setAttempt(attempt.attempt()))
                .build();
    }

    static Progress progress(RequestAction.ReportProgress action) {
        return Progress.newBuilder()
                .setRequest(action.attempt().request().value())
                .setAttempt(action.attempt().attempt())
                .setUnits(action.units())
                .setWorstTokenIntervalMillis(action.worstTokenIntervalMillis())
                .build();
    }

    static Frame finished(RequestAttempt attempt, EndReport report) {
        return Frame.newBuilder()
                .setFinished(Finished.newBuilder()
                        .setRequest(attempt.request().value())
                        .setAttempt(attempt.attempt())
                        .setOutcome(report.outcome().name().toLowerCase(Locale.ROOT))
                        .setTotalUnits(report.totalUnits())
                        .setFirstTokenMillis(report.firstTokenMillis())
                        .setTokenIntervalP95Millis(report.tokenIntervalP95Millis())
                        .setServerMillis(report.serverMillis()))
                .build();
    }

    static Frame inFlight(ServerName server, CallerRequest request, RequestAttempt attempt) {
        return Frame.newBuilder()
                .setInFlight(InFlight.newBuilder()
                        .setServer(server.value())
                        .addRequests(InFlightRequest.newBuilder()
                                .setRequest(attempt.request().value())
                                .setAttempt(attempt.attempt())
                                .setWorkspace(request.workspace().value())
                                .setClassOfWork(request.classOfWork().name().value())))
                .build();
    }

    /** Reads a frame of an owner about an attempt; empty when it is none or is malformed. */
    static Optional<RequestEvent.AttemptEvent> decode(RouterId owner, Frame frame) {
        return switch (frame.getBodyCase()) {
            case QUEUED ->
                decodeAttempt(frame.getQueued().getRequest(), frame.getQueued().getAttempt())
                        .map(attempt -> new RequestEvent.OwnerQueued(
                                attempt, Duration.ofMillis(frame.getQueued().getEstimatedWaitMillis())));
            case GRANT -> decodeGrant(owner, frame.getGrant());
            case REFUSE -> decodeRefusal(frame.getRefuse());
            case REDIRECT -> {
                String router = frame.getRedirect().getRouter();
                yield decodeAttempt(
                                frame.getRedirect().getRequest(),
                                frame.getRedirect().getAttempt())
                        .filter(attempt -> !router.isBlank())
                        .map(attempt -> new RequestEvent.OwnerRedirected(attempt, new RouterId(router)));
            }
            case PREEMPT ->
                decodeAttempt(frame.getPreempt().getRequest(), frame.getPreempt().getAttempt())
                        .map(RequestEvent.OwnerPreempted::new);
            default -> Optional.empty();
        };
    }

    private static Optional<RequestEvent.AttemptEvent> decodeGrant(RouterId owner, Grant grant) {
        if (grant.getServer().isBlank() || grant.getAddress().isBlank()) {
            return Optional.empty();
        }
        return decodeAttempt(grant.getRequest(), grant.getAttempt())
                .map(attempt -> new RequestEvent.OwnerGranted(
                        owner,
                        attempt,
                        new ServerName(grant.getServer()),
                        grant.getAddress(),
                        grant.getFencingNumber(),
                        Duration.ofMillis(grant.getStartWithinMillis()),
                        Duration.ofMillis(grant.getEstimatedWaitMillis())));
    }

    private static Optional<RequestEvent.AttemptEvent> decodeRefusal(Refuse refuse) {
        RefusalCode code;
        try {
            code = RefusalCode.valueOf(refuse.getCode().toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            // A code of a later version: the request is queued elsewhere.
            code = RefusalCode.NOT_OWNER;
        }
        RefusalCode known = code;
        return decodeAttempt(refuse.getRequest(), refuse.getAttempt())
                .map(attempt ->
                        new RequestEvent.OwnerRefused(attempt, known, Duration.ofMillis(refuse.getRetryAfterMillis())));
    }

    private static Optional<RequestAttempt> decodeAttempt(String request, int attempt) {
        return request.isBlank() || attempt < 1
                ? Optional.empty()
                : Optional.of(new RequestAttempt(new RequestId(request), attempt));
    }
}
