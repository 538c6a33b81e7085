package org.coltsfootquay.router.owner;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.dispatch.DispatchAction;
import org.coltsfootquay.decision.dispatch.DispatchEvent;
import org.coltsfootquay.decision.dispatch.EndReport;
import org.coltsfootquay.decision.dispatch.HandoverState;
import org.coltsfootquay.decision.dispatch.InFlightEntry;
import org.coltsfootquay.decision.dispatch.QueuedRequest;
import org.coltsfootquay.protocol.generated.Enqueue;
import org.coltsfootquay.protocol.generated.Finished;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.protocol.generated.Grant;
import org.coltsfootquay.protocol.generated.InFlightRequest;
import org.coltsfootquay.protocol.generated.Preempt;
import org.coltsfootquay.protocol.generated.Progress;
import org.coltsfootquay.protocol.generated.Queued;
import org.coltsfootquay.protocol.generated.Redirect;
import org.coltsfootquay.protocol.generated.Refuse;
import org.coltsfootquay.protocol.generated.ServerHandover;

/** Decodes frames from other routers into dispatch events and encodes dispatch actions and handovers as frames. */
final class EntryFrameCodec {

    private EntryFrameCodec() {}

    static DispatchEvent.Submitted decodeEnqueue(RouterId entryRouter, Enqueue enqueue, long nowNanos) {
        Set<ServerName> excluded = new HashSet<>();
        enqueue.getExcludedServersList().forEach(server -> excluded.add(new ServerName(server)));
        return new DispatchEvent.Submitted(new QueuedRequest(
                decodeAttempt(enqueue.getRequest(), enqueue.getAttempt()),
                entryRouter,
                new WorkspaceId(enqueue.getWorkspace()),
                new ServiceName(enqueue.getService()),
                new ClassOfWorkName(enqueue.getClassOfWork()),
                enqueue.getEstimatedInputUnits(),
                enqueue.getEstimatedOutputUnits(),
                nowNanos + TimeUnit.MILLISECONDS.toNanos(enqueue.getRemainingMillis()),
                nowNanos + TimeUnit.MILLISECONDS.toNanos(enqueue.getPatienceMillis()),
                enqueue.getPrefixHashesList(),
                excluded,
                enqueue.getResumed()));
    }

    static DispatchEvent decodeProgress(Progress progress) {
        return new DispatchEvent.Progressed(
                decodeAttempt(progress.getRequest(), progress.getAttempt()),
                progress.getUnits(),
                progress.getWorstTokenIntervalMillis());
    }

    static DispatchEvent decodeFinished(Finished finished) {
        return new DispatchEvent.Ended(
                decodeAttempt(finished.getRequest(), finished.getAttempt()),
                new EndReport(
                        EndReport.Outcome.valueOf(finished.getOutcome().toUpperCase(Locale.ROOT)),
                        finished.getTotalUnits(),
                        finished.getFirstTokenMillis(),
                        finished.getTokenIntervalP95Millis(),
                        finished.getServerMillis()));
    }

    static List<InFlightEntry> decodeInFlight(RouterId sender, List<InFlightRequest> requests) {
        return requests.stream()
                .map(request -> new InFlightEntry(
                        decodeAttempt(request.getRequest(), request.getAttempt()),
                        request.getEntry().isEmpty() ? sender : new RouterId(request.getEntry()),
                        new WorkspaceId(request.getWorkspace()),
                        new ClassOfWorkName(request.getClassOfWork()),
                        request.getChargedUnits()))
                .toList();
    }

    static DispatchEvent decodeHandover(RouterId from, ServerHandover handover) {
        return new DispatchEvent.HandedOver(new HandoverState(
                new ServerName(handover.getServer()),
                handover.getLimit(),
                handover.getCold(),
                decodeInFlight(from, handover.getRequestsList())));
    }

    static Frame encodeHandover(HandoverState state, long fencingNumber) {
        ServerHandover.Builder handover = ServerHandover.newBuilder()
                .setServer(state.server().value())
                .setFencingNumber(fencingNumber)
                .setLimit(state.limit())
                .setCold(state.cold());
        state.requests()
                .forEach(request -> handover.addRequests(InFlightRequest.newBuilder()
                        .setRequest(request.attempt().request().value())
                        .setAttempt(request.attempt().attempt())
                        .setWorkspace(request.workspace().value())
                        .setClassOfWork(request.classOfWork().value())
                        .setChargedUnits(request.chargedUnits())
                        .setEntry(request.entryRouter().value())));
        return Frame.newBuilder().setServerHandover(handover).build();
    }

    static RequestAttempt decodeAttempt(String request, int attempt) {
        return new RequestAttempt(new RequestId(request), attempt);
    }

    static Optional<Frame> encodeAction(DispatchAction action) {
        String request = action.attempt().request().value();
        int attempt = action.attempt().attempt();
        Frame.Builder frame = Frame.newBuilder();
        if (action instanceof DispatchAction.Granted granted) {
            frame.setGrant(Grant.newBuilder()
                    .setRequest(request)
                    .setAttempt(attempt)
                    .setServer(granted.server().name().value())
                    .setAddress(granted.server().address())
                    .setFencingNumber(granted.server().fencingNumber())
                    .setStartWithinMillis(granted.startTimeout().toMillis())
                    .setEstimatedWaitMillis(granted.estimatedWait().toMillis()));
        } else if (action instanceof DispatchAction.Queued queued) {
            frame.setQueued(Queued.newBuilder()
                    .setRequest(request)
                    .setAttempt(attempt)
                    .setEstimatedWaitMillis(queued.estimatedWait().toMillis()));
        } else if (action instanceof DispatchAction.Refused refused) {
            frame.setRefuse(Refuse.newBuilder()
                    .setRequest(request)
                    .setAttempt(attempt)
                    .setCode(refused.code().label())
                    .setRetryAfterMillis(refused.retryAfter().toMillis()));
        } else if (action instanceof DispatchAction.Redirected redirected) {
            frame.setRedirect(Redirect.newBuilder()
                    .setRequest(request)
                    .setAttempt(attempt)
                    .setRouter(redirected.owner().value()));
        } else if (action instanceof DispatchAction.Preempted) {
            frame.setPreempt(Preempt.newBuilder().setRequest(request).setAttempt(attempt));
        } else {
            return Optional.empty();
        }
        return Optional.of(frame.build());
    }
}
