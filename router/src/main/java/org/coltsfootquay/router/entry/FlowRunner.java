package org.coltsfootquay.router.entry;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.dispatch.EndReport.Outcome;
import org.coltsfootquay.decision.request.CallerRequest;
import org.coltsfootquay.decision.request.ErrorResponse;
import org.coltsfootquay.decision.request.RequestAction;
import org.coltsfootquay.decision.request.RequestEvent;
import org.coltsfootquay.decision.request.RequestFlow;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.router.backend.BackendCall;
import org.coltsfootquay.router.backend.BackendRequest;
import org.coltsfootquay.router.http.HttpExchange;

/** Runs the flow of one request on the event loop of the caller's connection. */
final class FlowRunner {

    /**
     * Time without reads after which a caller is treated as disconnected. It is shorter than the 60 s after which a
     * silent server is treated as broken, so that a stalled caller is never mistaken for a broken server.
     */
    private static final long CALLER_STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final EntryRouter entry;
    private final EntryContext context;
    private final RequestFlow flow;
    private final ForwardedRequest forwarded;
    private final HttpExchange exchange;
    private final ResponseWriter writer;
    private final EventLoop loop;
    private final long admittedNanos;

    private ServerResponseHandler responseHandler;
    private BackendCall call;
    private Future<?> flowTimer;
    private Future<?> stallTimer;
    private boolean paused;
    private boolean firstPart = true;

    FlowRunner(EntryRouter entry, EntryContext context, RequestParser.ParsedRequest parsed, HttpExchange exchange) {
        this.entry = entry;
        this.context = context;
        this.flow = new RequestFlow(parsed.request(), context.environment());
        this.forwarded = parsed.forwarded();
        this.exchange = exchange;
        this.writer = new ResponseWriter(
                exchange,
                parsed.request().id().value(),
                parsed.request().service().value());
        this.loop = exchange.eventLoop();
        this.admittedNanos = context.clock().getAsLong();
    }

    void start() {
        exchange.onDisconnect(() -> handle(new RequestEvent.CallerDisconnected()));
        exchange.onWritable(this::onCallerWritable);
        handle(new RequestEvent.Admitted());
    }

    /** Delivers an event to the flow; may be called from any thread. */
    void post(RequestEvent event) {
        loop.execute(() -> handle(event));
    }

    /** Reports the request to the new owner of a server if the request is in flight on that server. */
    void serverOwnerChanged(ServerName server, RouterId owner) {
        loop.execute(() -> {
            Optional<RequestAttempt> attempt =
                    flow.serverInFlight().filter(server::equals).flatMap(found -> flow.attempt());
            if (attempt.isPresent()) {
                sendToOwner(owner, OwnerFrameCodec.inFlight(server, flow.request(), attempt.get()));
                handle(new RequestEvent.ServerOwnerChanged(server, owner));
            }
        });
    }

    private void handle(RequestEvent event) {
        if (flow.isClosed()) {
            return;
        }
        List<RequestAction> actions = flow.handle(event, context.clock().getAsLong());
        for (RequestAction action : actions) {
            perform(action);
        }
    }

    private void perform(RequestAction action) {
        if (action instanceof RequestAction.SendPart part) {
            sendPart(part);
        } else if (action instanceof RequestAction.EnqueueAtOwner enqueue) {
            if (!sendToOwner(
                    enqueue.owner(), OwnerFrameCodec.enqueue(flow.request(), enqueue, configurationVersion()))) {
                post(new RequestEvent.OwnerLost(enqueue.owner()));
            }
        } else if (action instanceof RequestAction.SendToServer send) {
            sendToServer(send);
        } else if (action instanceof RequestAction.ResumeOnServer resume) {
            resumeOnServer(resume);
        } else if (action instanceof RequestAction.CancelOnServer cancel) {
            cancelOnServer(cancel);
        } else if (action instanceof RequestAction.ScheduleTimer schedule) {
            scheduleTimer(schedule.atNanos());
        } else if (action instanceof RequestAction.WriteRecord write) {
            context.records()
                    .write(write.write(), result -> post(new RequestEvent.RecordWritten(write.sequence(), result)));
        } else if (action instanceof RequestAction.ReadRecord read) {
            context.records().read(read.key(), result -> post(new RequestEvent.RecordRead(read.sequence(), result)));
        } else if (action instanceof RequestAction.Close) {
            close();
        } else if (!reportToOwner(action)) {
            respond(action);
        }
    }

    private boolean reportToOwner(RequestAction action) {
        if (action instanceof RequestAction.WithdrawFromOwner withdraw) {
            sendToOwner(withdraw.owner(), OwnerFrameCodec.withdraw(withdraw.attempt(), withdraw.reason()));
        } else if (action instanceof RequestAction.ReportStarted started) {
            sendToOwner(started.owner(), OwnerFrameCodec.started(started.attempt()));
        } else if (action instanceof RequestAction.ReportProgress progress) {
            entry.queueProgress(progress);
        } else if (action instanceof RequestAction.ReportFinished finished) {
            sendToOwner(finished.owner(), OwnerFrameCodec.finished(finished.attempt(), finished.report()));
            if (finished.report().outcome() == Outcome.COMPLETED) {
                entry.recordOutput(flow.request(), finished.report().totalUnits());
            }
        } else {
            return false;
        }
        return true;
    }

    private void respond(RequestAction action) {
        if (action instanceof RequestAction.StartResponse start) {
            writer.start(start);
        } else if (action instanceof RequestAction.FinishResponse finish) {
            writer.finish(finish);
            completed();
        } else if (action instanceof RequestAction.SendResponse response) {
            writer.sendResponse(response);
            completed();
        } else if (action instanceof RequestAction.EndWithError error) {
            writer.endWithError(error.error());
            failed(error.error());
        } else if (action instanceof RequestAction.Refuse refuse) {
            writer.refuse(refuse.error());
            failed(refuse.error());
        }
    }

    private void sendToServer(RequestAction.SendToServer send) {
        long position = send.continueFrom().size();
        BackendRequest request =
                forwarded.toBackendRequest(send.attempt(), send.address(), send.fencingNumber(), send.continueFrom());
        startCall(
                request,
                new ServerResponseHandler(
                        send.attempt(),
                        forwarded.kind(),
                        position,
                        false,
                        () -> flow.maySend(send.attempt(), context.clock().getAsLong()),
                        this::handle));
    }

    private void resumeOnServer(RequestAction.ResumeOnServer resume) {
        abandonCall();
        BackendRequest request = ForwardedRequest.resumeRequest(
                resume.attempt(), resume.address(), resume.fencingNumber(), resume.fromPosition());
        startCall(
                request,
                new ServerResponseHandler(
                        resume.attempt(), forwarded.kind(), resume.fromPosition(), true, () -> true, this::handle));
    }

    private void startCall(BackendRequest request, ServerResponseHandler newHandler) {
        responseHandler = newHandler;
        call = context.client().send(loop, request, newHandler);
        if (paused) {
            call.pause();
        }
    }

    private void cancelOnServer(RequestAction.CancelOnServer cancel) {
        abandonCall();
        if (forwarded.kind() == ServiceKind.MODEL) {
            context.controlClient().cancel(cancel.address(), ForwardedRequest.serverRequestId(cancel.attempt()));
        }
    }

    private void abandonCall() {
        if (responseHandler != null) {
            responseHandler.detach();
            responseHandler = null;
        }
        if (call != null) {
            call.cancel();
            call = null;
        }
    }

    private void sendPart(RequestAction.SendPart part) {
        if (firstPart) {
            firstPart = false;
            context.metrics()
                    .recordLatency(
                            "first_output_seconds" + labels(), context.clock().getAsLong() - admittedNanos);
        }
        writer.writePart(part);
        if (!paused && !exchange.isWritable()) {
            paused = true;
            if (call != null) {
                call.pause();
            }
            stallTimer = loop.schedule(exchange::disconnect, CALLER_STALL_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private void onCallerWritable() {
        if (paused) {
            paused = false;
            stallTimer.cancel(false);
            if (call != null) {
                call.resume();
            }
        }
    }

    private void scheduleTimer(long atNanos) {
        if (flowTimer != null) {
            flowTimer.cancel(false);
        }
        long delay = Math.max(0, atNanos - context.clock().getAsLong());
        flowTimer = loop.schedule(() -> handle(new RequestEvent.TimerFired()), delay, TimeUnit.NANOSECONDS);
    }

    private void close() {
        if (flowTimer != null) {
            flowTimer.cancel(false);
        }
        if (stallTimer != null) {
            stallTimer.cancel(false);
        }
        entry.removeFlow(flow.request().id());
    }

    private void completed() {
        context.metrics().count("requests_total{outcome=\"completed\"}");
        context.metrics()
                .recordLatency("request_seconds" + labels(), context.clock().getAsLong() - admittedNanos);
    }

    private void failed(ErrorResponse error) {
        context.metrics()
                .count("requests_total{outcome=\"" + error.code().label() + "\",execution=\""
                        + error.execution().label() + "\"}");
    }

    private String labels() {
        CallerRequest request = flow.request();
        return "{class=\"" + request.classOfWork().name() + "\"}";
    }

    private long configurationVersion() {
        return context.environment().configuration().version();
    }

    private boolean sendToOwner(RouterId owner, Frame frame) {
        return context.owners().send(owner, frame);
    }
}
