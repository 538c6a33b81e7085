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
import org.coltsfootquay.decision.request.ErrorReply;
import org.coltsfootquay.decision.request.RequestAction;
import org.coltsfootquay.decision.request.RequestEvent;
import org.coltsfootquay.decision.request.RequestFlow;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.router.backend.BackendCall;
import org.coltsfootquay.router.backend.BackendRequest;
import org.coltsfootquay.router.http.HttpExchange;

/** Runs the flow of one request on the event loop of its caller's connection. */
final class FlowRunner {

    /**
     * Time for which a caller may not read before it counts as gone. Shorter than the 60 s after which a silent server
     * counts as broken, so that a stalled caller is never taken for a broken server.
     */
    private static final long STALLED_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final EntryRouter entry;
    private final EntryParts parts;
    private final RequestFlow flow;
    private final ForwardedRequest forwarded;
    private final HttpExchange exchange;
    private final AnswerWriter writer;
    private final EventLoop loop;
    private final long admittedNanos;

    private ServerAnswer answer;
    private BackendCall call;
    private Future<?> timer;
    private Future<?> stallTimer;
    private boolean paused;
    private boolean firstPart = true;

    FlowRunner(EntryRouter entry, EntryParts parts, RequestReader.Read read, HttpExchange exchange) {
        this.entry = entry;
        this.parts = parts;
        this.flow = new RequestFlow(read.request(), parts.environment());
        this.forwarded = read.forwarded();
        this.exchange = exchange;
        this.writer = new AnswerWriter(
                exchange, read.request().id().value(), read.request().service().value());
        this.loop = exchange.eventLoop();
        this.admittedNanos = parts.clock().getAsLong();
    }

    void start() {
        exchange.onDisconnect(() -> handle(new RequestEvent.CallerGone()));
        exchange.onWritable(this::callerReads);
        handle(new RequestEvent.Admitted());
    }

    /** Delivers an event from any thread. */
    void post(RequestEvent event) {
        loop.execute(() -> handle(event));
    }

    /** Reports the request to the new owner of its server, if it is in flight there. */
    void serverMoved(ServerName server, RouterId owner) {
        loop.execute(() -> {
            Optional<RequestAttempt> attempt =
                    flow.inFlightOn().filter(server::equals).flatMap(found -> flow.attempt());
            if (attempt.isPresent()) {
                send(owner, EntryFrames.inFlight(server, flow.request(), attempt.get()));
                handle(new RequestEvent.ServerMoved(server, owner));
            }
        });
    }

    private void handle(RequestEvent event) {
        if (flow.isClosed()) {
            return;
        }
        List<RequestAction> actions = flow.handle(event, parts.clock().getAsLong());
        for (RequestAction action : actions) {
            perform(action);
        }
    }

    private void perform(RequestAction action) {
        if (action instanceof RequestAction.PassPart part) {
            pass(part);
        } else if (action instanceof RequestAction.EnqueueAtOwner enqueue) {
            if (!send(enqueue.owner(), EntryFrames.enqueue(flow.request(), enqueue, version()))) {
                post(new RequestEvent.OwnerLost(enqueue.owner()));
            }
        } else if (action instanceof RequestAction.OpenOnServer open) {
            open(open);
        } else if (action instanceof RequestAction.ResumeOnServer resume) {
            resume(resume);
        } else if (action instanceof RequestAction.CancelOnServer cancel) {
            cancel(cancel);
        } else if (action instanceof RequestAction.ScheduleTimer schedule) {
            schedule(schedule.atNanos());
        } else if (action instanceof RequestAction.WriteRecord write) {
            parts.records()
                    .write(write.write(), result -> post(new RequestEvent.RecordWritten(write.sequence(), result)));
        } else if (action instanceof RequestAction.ReadRecord read) {
            parts.records().read(read.key(), result -> post(new RequestEvent.RecordRead(read.sequence(), result)));
        } else if (action instanceof RequestAction.Close) {
            close();
        } else if (!report(action)) {
            answer(action);
        }
    }

    private boolean report(RequestAction action) {
        if (action instanceof RequestAction.WithdrawFromOwner withdraw) {
            send(withdraw.owner(), EntryFrames.withdraw(withdraw.attempt(), withdraw.reason()));
        } else if (action instanceof RequestAction.ReportStarted started) {
            send(started.owner(), EntryFrames.started(started.attempt()));
        } else if (action instanceof RequestAction.ReportProgress progress) {
            entry.progress(progress);
        } else if (action instanceof RequestAction.ReportFinished finished) {
            send(finished.owner(), EntryFrames.finished(finished.attempt(), finished.report()));
            if (finished.report().outcome() == Outcome.COMPLETED) {
                entry.finished(flow.request(), finished.report().totalUnits());
            }
        } else {
            return false;
        }
        return true;
    }

    private void answer(RequestAction action) {
        if (action instanceof RequestAction.StartAnswer start) {
            writer.start(start);
        } else if (action instanceof RequestAction.FinishAnswer finish) {
            writer.finish(finish);
            completed();
        } else if (action instanceof RequestAction.GiveAnswer give) {
            writer.give(give);
            completed();
        } else if (action instanceof RequestAction.EndWithError error) {
            writer.endWithError(error.error());
            failed(error.error());
        } else if (action instanceof RequestAction.Refuse refuse) {
            writer.refuse(refuse.error());
            failed(refuse.error());
        }
    }

    private void open(RequestAction.OpenOnServer open) {
        long position = open.continueFrom().size();
        BackendRequest request =
                forwarded.to(open.attempt(), open.address(), open.fencingNumber(), open.continueFrom());
        connect(
                request,
                new ServerAnswer(
                        open.attempt(),
                        forwarded.kind(),
                        position,
                        false,
                        () -> flow.maySend(open.attempt(), parts.clock().getAsLong()),
                        this::handle));
    }

    private void resume(RequestAction.ResumeOnServer resume) {
        detach();
        BackendRequest request =
                ForwardedRequest.resume(resume.attempt(), resume.address(), resume.fencingNumber(), resume.from());
        connect(
                request,
                new ServerAnswer(resume.attempt(), forwarded.kind(), resume.from(), true, () -> true, this::handle));
    }

    private void connect(BackendRequest request, ServerAnswer newAnswer) {
        answer = newAnswer;
        call = parts.client().send(loop, request, newAnswer);
        if (paused) {
            call.pause();
        }
    }

    private void cancel(RequestAction.CancelOnServer cancel) {
        detach();
        if (forwarded.kind() == ServiceKind.MODEL) {
            parts.calls().cancel(cancel.address(), ForwardedRequest.serverRequestId(cancel.attempt()));
        }
    }

    private void detach() {
        if (answer != null) {
            answer.detach();
            answer = null;
        }
        if (call != null) {
            call.cancel();
            call = null;
        }
    }

    private void pass(RequestAction.PassPart part) {
        if (firstPart) {
            firstPart = false;
            parts.metrics()
                    .latency("first_output_seconds" + labels(), parts.clock().getAsLong() - admittedNanos);
        }
        writer.part(part);
        if (!paused && !exchange.isWritable()) {
            paused = true;
            if (call != null) {
                call.pause();
            }
            stallTimer = loop.schedule(exchange::disconnect, STALLED_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private void callerReads() {
        if (paused) {
            paused = false;
            stallTimer.cancel(false);
            if (call != null) {
                call.resume();
            }
        }
    }

    private void schedule(long atNanos) {
        if (timer != null) {
            timer.cancel(false);
        }
        long delay = Math.max(0, atNanos - parts.clock().getAsLong());
        timer = loop.schedule(() -> handle(new RequestEvent.TimePassed()), delay, TimeUnit.NANOSECONDS);
    }

    private void close() {
        if (timer != null) {
            timer.cancel(false);
        }
        if (stallTimer != null) {
            stallTimer.cancel(false);
        }
        entry.closed(flow.request().id());
    }

    private void completed() {
        parts.metrics().count("requests_total{outcome=\"completed\"}");
        parts.metrics().latency("request_seconds" + labels(), parts.clock().getAsLong() - admittedNanos);
    }

    private void failed(ErrorReply error) {
        parts.metrics()
                .count("requests_total{outcome=\"" + error.code().label() + "\",execution=\""
                        + error.execution().label() + "\"}");
    }

    private String labels() {
        CallerRequest request = flow.request();
        return "{class=\"" + request.classOfWork().name() + "\"}";
    }

    private long version() {
        return parts.environment().configuration().version();
    }

    private boolean send(RouterId owner, Frame frame) {
        return parts.owners().send(owner, frame);
    }
}
