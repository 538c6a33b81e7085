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
import org.coltsfootquay.decision.request.RequestWorld.Kind;
import org.junit.jupiter.api.Test;

/** Guards single steps of a request that the fault matrix does not look at. */
final class RequestFlowTest {

    private static final long MILLI = 1_000_000L;
    private static final ServerName SERVER = new ServerName("s1");

    private RequestWorld world;
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
            reports.addAll(only(RequestAction.ReportProgress.class, handle(token(i))));
        }
        assertEquals(2, reports.size());
        // 100 units of input, and 2 for each of the 18 tokens of the first 1,026 ms.
        assertEquals(100 + 2 * 18, reports.get(0).units());
        assertEquals(57, reports.get(1).worstTokenIntervalMillis());
        EndReport report = only(
                        RequestAction.ReportFinished.class, handle(new RequestEvent.AnswerEnded(attempt, 50, "stop")))
                .get(0)
                .report();
        assertEquals(100 + 2 * 50, report.totalUnits());
        assertEquals(57, report.firstTokenMillis());
        assertTrue(Math.abs(report.tokenIntervalP95Millis() - 57) <= 7, "p95 " + report.tokenIntervalP95Millis());
    }

    @Test
    void continuedRequestIsNotChargedForWhatIsComputedAgain() {
        start(Kind.MODEL_STREAMED);
        send();
        handle(new RequestEvent.HeadReceived(attempt, 200, Map.of()));
        handle(token(0));
        handle(token(1));
        RequestAction.EnqueueAtOwner again = only(
                        RequestAction.EnqueueAtOwner.class, handle(new RequestEvent.OwnerPreempted(attempt)))
                .get(0);
        assertTrue(again.resumed());
        attempt = again.attempt();
        RequestAction.OpenOnServer open =
                only(RequestAction.OpenOnServer.class, handle(granted(500))).get(0);
        assertEquals(List.of("t0 ", "t1 "), open.continueFrom());
        handle(new RequestEvent.SendStarted(attempt));
        handle(new RequestEvent.HeadReceived(attempt, 200, Map.of()));
        handle(token(2));
        List<RequestAction> end = handle(new RequestEvent.AnswerEnded(attempt, 3, "stop"));
        assertEquals(
                2, only(RequestAction.ReportFinished.class, end).get(0).report().totalUnits());
    }

    @Test
    void lapsedGrantIsNotUsed() {
        start(Kind.BOOKING);
        handle(granted(500));
        now += 600 * MILLI;
        assertFalse(flow.maySend(attempt, now));
    }

    @Test
    void answerThatMissesTokensIsNotPresentedAsComplete() {
        start(Kind.MODEL_WHOLE);
        send();
        handle(new RequestEvent.HeadReceived(attempt, 200, Map.of()));
        handle(token(0));
        List<RequestAction> actions = handle(new RequestEvent.AnswerEnded(attempt, 5, "stop"));
        assertEquals(1, only(RequestAction.ResumeOnServer.class, actions).get(0).from());
        assertEquals(List.of(), only(RequestAction.GiveAnswer.class, actions));
    }

    @Test
    void errorOfTheApplicationIsPassedOnWhenItIsTheCallersFault() {
        start(Kind.APPLICATION_READ);
        send();
        handle(new RequestEvent.HeadReceived(attempt, 404, Map.of()));
        List<RequestAction> actions = handle(new RequestEvent.AnswerEnded(attempt, 0, ""));
        assertEquals(404, only(RequestAction.GiveAnswer.class, actions).get(0).status());
    }

    @Test
    void errorOfTheServerIsRetriedElsewhere() {
        start(Kind.APPLICATION_READ);
        send();
        List<RequestAction> actions = handle(new RequestEvent.HeadReceived(attempt, 500, Map.of()));
        assertEquals(1, only(RequestAction.CancelOnServer.class, actions).size());
        now += 100 * MILLI;
        List<RequestAction.EnqueueAtOwner> again =
                only(RequestAction.EnqueueAtOwner.class, handle(new RequestEvent.TimePassed()));
        assertTrue(again.get(0).excludedServers().contains(SERVER));
    }

    @Test
    void errorOfABookingIsItsAnswer() {
        start(Kind.BOOKING);
        RequestAction.WriteRecord write =
                only(RequestAction.WriteRecord.class, handle(granted(500))).get(0);
        handle(new RequestEvent.RecordWritten(write.sequence(), world.table.apply(write.write())));
        handle(new RequestEvent.SendStarted(attempt));
        handle(new RequestEvent.HeadReceived(attempt, 500, Map.of()));
        List<RequestAction> actions = handle(new RequestEvent.AnswerEnded(attempt, 0, ""));
        assertEquals(500, only(RequestAction.GiveAnswer.class, actions).get(0).status());
        assertEquals(1, only(RequestAction.WriteRecord.class, actions).size());
    }

    @Test
    void refusalOfTheOwnerCarriesItsRetryTime() {
        start(Kind.APPLICATION_READ);
        Duration later = Duration.ofSeconds(7);
        List<RequestAction> actions =
                handle(new RequestEvent.OwnerRefused(attempt, RefusalCode.WORKSPACE_QUEUE_FULL, later));
        ErrorReply error = only(RequestAction.Refuse.class, actions).get(0).error();
        assertEquals(ErrorCode.WORKSPACE_QUEUE_FULL, error.code());
        assertEquals(ErrorReply.Execution.NOT_RUN, error.execution());
        assertEquals(later, error.retryAfter());
        assertTrue(flow.isClosed());
    }

    @Test
    void silentServerCountsAsBroken() {
        start(Kind.APPLICATION_READ);
        send();
        now += ServerSide.SILENCE_NANOS;
        List<RequestAction> actions = handle(new RequestEvent.TimePassed());
        assertEquals(1, only(RequestAction.CancelOnServer.class, actions).size());
    }

    @Test
    void serverInFlightIsKnownForReportsToANewOwner() {
        start(Kind.MODEL_STREAMED);
        assertEquals(Optional.empty(), flow.inFlightOn());
        send();
        assertEquals(Optional.of(SERVER), flow.inFlightOn());
    }

    @Test
    void preemptedRequestThatItsOwnerRefusesGoesOnElsewhere() {
        start(Kind.MODEL_STREAMED);
        send();
        handle(new RequestEvent.HeadReceived(attempt, 200, Map.of()));
        handle(token(0));
        attempt = only(RequestAction.EnqueueAtOwner.class, handle(new RequestEvent.OwnerPreempted(attempt)))
                .get(0)
                .attempt();
        List<RequestAction> actions =
                handle(new RequestEvent.OwnerRefused(attempt, RefusalCode.PATIENCE_EXCEEDED, Duration.ZERO));
        assertEquals(List.of(), only(RequestAction.EndWithError.class, actions));
        now += 100 * MILLI;
        RequestAction.EnqueueAtOwner again = only(
                        RequestAction.EnqueueAtOwner.class, handle(new RequestEvent.TimePassed()))
                .get(0);
        assertFalse(again.owner().equals(owner));
    }

    @Test
    void closedFlowDoesNothingMore() {
        start(Kind.APPLICATION_READ);
        handle(new RequestEvent.OwnerRefused(attempt, RefusalCode.WORKSPACE_QUEUE_FULL, Duration.ZERO));
        assertEquals(List.of(), handle(new RequestEvent.CallerGone()));
        assertEquals(List.of(), handle(new RequestEvent.TimePassed()));
    }

    @Test
    void requestInFlightReportsToTheNewOwnerOfItsServer() {
        start(Kind.MODEL_STREAMED);
        send();
        RouterId newOwner = new RouterId("new-owner");
        handle(new RequestEvent.ServerMoved(new ServerName("s2"), new RouterId("other")));
        handle(new RequestEvent.ServerMoved(SERVER, newOwner));
        handle(new RequestEvent.HeadReceived(attempt, 200, Map.of()));
        List<RequestAction> end = handle(new RequestEvent.AnswerEnded(attempt, 0, "stop"));
        assertEquals(
                newOwner, only(RequestAction.ReportFinished.class, end).get(0).owner());
    }

    @Test
    void wholeAnswerBeyondTheBoundIsNotHeld() {
        start(Kind.APPLICATION_READ);
        send();
        handle(new RequestEvent.HeadReceived(attempt, 200, Map.of()));
        byte[] megabyte = new byte[1024 * 1024];
        List<RequestAction> actions = new ArrayList<>();
        for (int i = 0; i <= 16; i++) {
            actions.addAll(handle(new RequestEvent.PartReceived(attempt, (long) i * megabyte.length, megabyte)));
        }
        ErrorReply error = only(RequestAction.Refuse.class, actions).get(0).error();
        assertEquals(ErrorCode.ANSWER_TOO_LARGE, error.code());
        assertEquals(ErrorReply.Execution.UNKNOWN, error.execution());
        assertTrue(flow.isClosed());
    }

    @Test
    void timerComesBeforeActionsThatMayDeliverEventsAtOnce() {
        start(Kind.APPLICATION_READ);
        RequestFlow other = new RequestFlow(flow.request(), new Unchecked(world.first));
        assertTrue(other.handle(new RequestEvent.Admitted(), now).get(0) instanceof RequestAction.ScheduleTimer);
    }

    /** 5,000 streams of 480 tokens of 5 bytes; the daemon has 220 on average. */
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
        if (world == null || world.kind != kind) {
            world = new RequestWorld(kind, FlowPort.Factory.real(), 3);
            now = world.now;
        }
        FakeCaller caller = world.call(world.second);
        world.callers.clear();
        flow = new RequestFlow(caller.request, new Unchecked(world.first));
        RequestAction.EnqueueAtOwner enqueue = only(
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

    private static <T extends RequestAction> List<T> only(Class<T> type, List<RequestAction> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Environment without checks, so that the memory of a flow is measured alone. */
    private static final class Unchecked extends DelegatingEnvironment {

        Unchecked(RequestEnvironment inner) {
            super(inner);
        }

        @Override
        public RequestObserver observer() {
            return RequestObserver.NONE;
        }
    }
}
