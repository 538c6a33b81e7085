package org.coltsfootquay.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.dispatch.EndReport;
import org.coltsfootquay.decision.dispatch.RefusalCode;
import org.coltsfootquay.decision.request.RequestSimulation.Kind;
import org.junit.jupiter.api.Test;

/** Guards single steps of a request that the fault matrix does not cover. */
final class RequestFlowTest {

    private static final long MILLI = 1_000_000L;
    private static final ServerName SERVER = new ServerName("s1");

    private RequestSimulation simulation;
    private RequestFlow flow;
    private RouterId owner;
    private RequestAttempt attempt;
    private long now;

    @Test
    void progressIsReportedOnceASecond() {
        start(Kind.MODEL_STREAMED);
        send();
        handle(new RequestEvent.HeadReceived(attempt, 200, Map.of()));
        List<RequestAction.ReportProgress> reports = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            now += 57 * MILLI;
            reports.addAll(actionsOfType(RequestAction.ReportProgress.class, handle(token(i))));
        }
        assertEquals(2, reports.size());
        // 100 units for the input and 2 for each of the 18 tokens received in the first 1,026 ms.
        assertEquals(100 + 2 * 18, reports.get(0).units());
        assertEquals(57, reports.get(1).worstTokenIntervalMillis());
        EndReport report = actionsOfType(
                        RequestAction.ReportFinished.class, handle(new RequestEvent.ResponseEnded(attempt, 50, "stop")))
                .get(0)
                .report();
        assertEquals(100 + 2 * 50, report.totalUnits());
        assertEquals(57, report.firstTokenMillis());
        assertTrue(Math.abs(report.tokenIntervalP95Millis() - 57) <= 7, "p95 " + report.tokenIntervalP95Millis());
    }

    @Test
    void continuedRequestIsNotChargedForItsInputAgain() {
        start(Kind.MODEL_STREAMED);
        send();
        handle(new RequestEvent.HeadReceived(attempt, 200, Map.of()));
        handle(token(0));
        handle(token(1));
        RequestAction.EnqueueAtOwner again = actionsOfType(
                        RequestAction.EnqueueAtOwner.class, handle(new RequestEvent.OwnerPreempted(attempt)))
                .get(0);
        assertTrue(again.resumed());
        attempt = again.attempt();
        RequestAction.SendToServer send = actionsOfType(RequestAction.SendToServer.class, handle(granted(500)))
                .get(0);
        assertEquals(List.of("t0 ", "t1 "), send.continueFrom());
        handle(new RequestEvent.SendStarted(attempt));
        handle(new RequestEvent.HeadReceived(attempt, 200, Map.of()));
        handle(token(2));
        List<RequestAction> end = handle(new RequestEvent.ResponseEnded(attempt, 3, "stop"));
        assertEquals(
                2,
                actionsOfType(RequestAction.ReportFinished.class, end)
                        .get(0)
                        .report()
                        .totalUnits());
    }

    @Test
    void expiredGrantIsNotUsed() {
        start(Kind.BOOKING);
        handle(granted(500));
        now += 600 * MILLI;
        assertFalse(flow.maySend(attempt, now));
    }

    @Test
    void responseWithMissingTokensIsNotComplete() {
        start(Kind.MODEL_WHOLE);
        send();
        handle(new RequestEvent.HeadReceived(attempt, 200, Map.of()));
        handle(token(0));
        List<RequestAction> actions = handle(new RequestEvent.ResponseEnded(attempt, 5, "stop"));
        assertEquals(
                1,
                actionsOfType(RequestAction.ResumeOnServer.class, actions)
                        .get(0)
                        .fromPosition());
        assertEquals(List.of(), actionsOfType(RequestAction.SendResponse.class, actions));
    }

    @Test
    void clientErrorStatusIsForwarded() {
        start(Kind.APPLICATION_READ);
        send();
        handle(new RequestEvent.HeadReceived(attempt, 404, Map.of()));
        List<RequestAction> actions = handle(new RequestEvent.ResponseEnded(attempt, 0, ""));
        assertEquals(
                404,
                actionsOfType(RequestAction.SendResponse.class, actions).get(0).status());
    }

    @Test
    void serverErrorIsRetriedOnAnotherServer() {
        start(Kind.APPLICATION_READ);
        send();
        List<RequestAction> actions = handle(new RequestEvent.HeadReceived(attempt, 500, Map.of()));
        assertEquals(
                1, actionsOfType(RequestAction.CancelOnServer.class, actions).size());
        now += 100 * MILLI;
        List<RequestAction.EnqueueAtOwner> again =
                actionsOfType(RequestAction.EnqueueAtOwner.class, handle(new RequestEvent.TimerFired()));
        assertTrue(again.get(0).excludedServers().contains(SERVER));
    }

    @Test
    void serverErrorOfBookingIsForwarded() {
        start(Kind.BOOKING);
        RequestAction.WriteRecord write = actionsOfType(RequestAction.WriteRecord.class, handle(granted(500)))
                .get(0);
        handle(new RequestEvent.RecordWritten(write.sequence(), simulation.table.apply(write.write())));
        handle(new RequestEvent.SendStarted(attempt));
        handle(new RequestEvent.HeadReceived(attempt, 500, Map.of()));
        List<RequestAction> actions = handle(new RequestEvent.ResponseEnded(attempt, 0, ""));
        assertEquals(
                500,
                actionsOfType(RequestAction.SendResponse.class, actions).get(0).status());
        assertEquals(1, actionsOfType(RequestAction.WriteRecord.class, actions).size());
    }

    @Test
    void ownerRefusalKeepsItsRetryAfter() {
        start(Kind.APPLICATION_READ);
        Duration later = Duration.ofSeconds(7);
        List<RequestAction> actions =
                handle(new RequestEvent.OwnerRefused(attempt, RefusalCode.WORKSPACE_QUEUE_FULL, later));
        ErrorResponse error =
                actionsOfType(RequestAction.Refuse.class, actions).get(0).error();
        assertEquals(ErrorCode.WORKSPACE_QUEUE_FULL, error.code());
        assertEquals(ErrorResponse.Execution.NOT_RUN, error.execution());
        assertEquals(later, error.retryAfter());
        assertTrue(flow.isClosed());
    }

    @Test
    void silentServerIsTreatedAsBroken() {
        start(Kind.APPLICATION_READ);
        send();
        now += ServerEventHandler.SILENCE_TIMEOUT_NANOS;
        List<RequestAction> actions = handle(new RequestEvent.TimerFired());
        assertEquals(
                1, actionsOfType(RequestAction.CancelOnServer.class, actions).size());
    }

    @Test
    void serverInFlightIsSetAfterTheSend() {
        start(Kind.MODEL_STREAMED);
        assertEquals(Optional.empty(), flow.serverInFlight());
        send();
        assertEquals(Optional.of(SERVER), flow.serverInFlight());
    }

    @Test
    void preemptedRequestRefusedByItsOwnerMovesToAnotherOwner() {
        start(Kind.MODEL_STREAMED);
        send();
        handle(new RequestEvent.HeadReceived(attempt, 200, Map.of()));
        handle(token(0));
        attempt = actionsOfType(RequestAction.EnqueueAtOwner.class, handle(new RequestEvent.OwnerPreempted(attempt)))
                .get(0)
                .attempt();
        List<RequestAction> actions =
                handle(new RequestEvent.OwnerRefused(attempt, RefusalCode.PATIENCE_EXCEEDED, Duration.ZERO));
        assertEquals(List.of(), actionsOfType(RequestAction.EndWithError.class, actions));
        now += 100 * MILLI;
        RequestAction.EnqueueAtOwner again = actionsOfType(
                        RequestAction.EnqueueAtOwner.class, handle(new RequestEvent.TimerFired()))
                .get(0);
        assertFalse(again.owner().equals(owner));
    }

    @Test
    void closedFlowIgnoresEvents() {
        start(Kind.APPLICATION_READ);
        handle(new RequestEvent.OwnerRefused(attempt, RefusalCode.WORKSPACE_QUEUE_FULL, Duration.ZERO));
        assertEquals(List.of(), handle(new RequestEvent.CallerDisconnected()));
        assertEquals(List.of(), handle(new RequestEvent.TimerFired()));
    }

    @Test
    void requestInFlightReportsToTheNewOwnerOfItsServer() {
        start(Kind.MODEL_STREAMED);
        send();
        RouterId newOwner = new RouterId("new-owner");
        handle(new RequestEvent.ServerOwnerChanged(new ServerName("s2"), new RouterId("other")));
        handle(new RequestEvent.ServerOwnerChanged(SERVER, newOwner));
        handle(new RequestEvent.HeadReceived(attempt, 200, Map.of()));
        List<RequestAction> end = handle(new RequestEvent.ResponseEnded(attempt, 0, "stop"));
        assertEquals(
                newOwner,
                actionsOfType(RequestAction.ReportFinished.class, end).get(0).owner());
    }

    @Test
    void bufferedResponseAboveTheMaximumIsRefused() {
        start(Kind.APPLICATION_READ);
        send();
        handle(new RequestEvent.HeadReceived(attempt, 200, Map.of()));
        byte[] megabyte = new byte[1024 * 1024];
        List<RequestAction> actions = new ArrayList<>();
        for (int i = 0; i <= 16; i++) {
            actions.addAll(handle(new RequestEvent.PartReceived(attempt, (long) i * megabyte.length, megabyte)));
        }
        ErrorResponse error =
                actionsOfType(RequestAction.Refuse.class, actions).get(0).error();
        assertEquals(ErrorCode.ANSWER_TOO_LARGE, error.code());
        assertEquals(ErrorResponse.Execution.UNKNOWN, error.execution());
        assertTrue(flow.isClosed());
    }

    @Test
    void timerIsScheduledBeforeOtherActions() {
        start(Kind.APPLICATION_READ);
        RequestFlow other = new RequestFlow(flow.request(), new UnobservedEnvironment(simulation.firstRouter));
        assertTrue(other.handle(new RequestEvent.Admitted(), now).get(0) instanceof RequestAction.ScheduleTimer);
    }

    /** Guards the memory of 5,000 streams of 480 tokens of 5 bytes; the daemon has 220 streams on average. */
    @Test
    void fiveThousandStreamsTakeLittleMemory() {
        List<RequestFlow> flows = new ArrayList<>();
        long before = usedMemory();
        for (int i = 0; i < 5_000; i++) {
            start(Kind.MODEL_STREAMED);
            send();
            handle(new RequestEvent.HeadReceived(attempt, 200, Map.of()));
            for (int j = 0; j < 480; j++) {
                handle(new RequestEvent.PartReceived(attempt, j, "token".getBytes(StandardCharsets.UTF_8)));
            }
            flows.add(flow);
        }
        long bytes = (usedMemory() - before) / flows.size();
        System.out.println("bytes for each flow with 480 tokens: " + bytes);
        assertTrue(bytes < 12_000, "bytes for each flow: " + bytes);
    }

    private static long usedMemory() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private void start(Kind kind) {
        if (simulation == null || simulation.kind != kind) {
            simulation = new RequestSimulation(kind, FlowAdapter.Factory.real(), 3);
            now = simulation.nowNanos;
        }
        FakeCaller caller = simulation.submitRequest(simulation.secondRouter);
        simulation.callers.clear();
        flow = new RequestFlow(caller.request, new UnobservedEnvironment(simulation.firstRouter));
        RequestAction.EnqueueAtOwner enqueue = actionsOfType(
                        RequestAction.EnqueueAtOwner.class, handle(new RequestEvent.Admitted()))
                .get(0);
        owner = enqueue.owner();
        attempt = enqueue.attempt();
    }

    private void send() {
        handle(granted(500));
        assertTrue(flow.maySend(attempt, now));
        handle(new RequestEvent.SendStarted(attempt));
    }

    private RequestEvent granted(long withinMillis) {
        return new RequestEvent.OwnerGranted(
                owner, attempt, SERVER, "127.0.0.1:1", 1, Duration.ofMillis(withinMillis), Duration.ZERO);
    }

    private RequestEvent token(int position) {
        return new RequestEvent.PartReceived(
                attempt, position, ("t" + position + " ").getBytes(StandardCharsets.UTF_8));
    }

    private List<RequestAction> handle(RequestEvent event) {
        return flow.handle(event, now);
    }

    private static <T extends RequestAction> List<T> actionsOfType(Class<T> type, List<RequestAction> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Environment without observer, so that the memory of the flow is measured alone. */
    private static final class UnobservedEnvironment extends DelegatingEnvironment {

        UnobservedEnvironment(RequestEnvironment inner) {
            super(inner);
        }

        @Override
        public RequestObserver observer() {
            return RequestObserver.NONE;
        }
    }
}
