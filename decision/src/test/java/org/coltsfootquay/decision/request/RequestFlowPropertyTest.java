package org.coltsfootquay.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.dispatch.RefusalCode;
import org.coltsfootquay.decision.request.RequestEvent.ServerDeclined.Reason;
import org.coltsfootquay.decision.request.RequestSimulation.Kind;
import org.coltsfootquay.decision.request.RequestSimulation.Step;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowValue;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;

/** Guards G5, G6 and G7 against random sequences of faults and events that the fault matrix does not cover. */
final class RequestFlowPropertyTest {

    @Property(seed = "4711", tries = 4_000)
    void guaranteesHoldForRandomFaults(
            @ForAll Kind kind, @ForAll("plans") Map<Step, List<RequestFault>> plan, @ForAll long seed) {
        FaultInjectionRun run = new FaultInjectionRun(kind, plan, FlowAdapter.Factory.real(), seed);
        assertEquals(List.of(), run.failures);
    }

    @Provide
    Arbitrary<Map<Step, List<RequestFault>>> plans() {
        Arbitrary<List<RequestFault>> faults =
                Arbitraries.of(RequestFault.class).list().ofMinSize(1).ofMaxSize(3);
        return Arbitraries.maps(Arbitraries.of(Step.class), faults).ofMinSize(1).ofMaxSize(4);
    }

    /**
     * Delivers random events in random order, including ones that no owner, server or store would send. Only the client
     * follows its protocol.
     */
    @Property(seed = "4712", tries = 4_000)
    void guaranteesHoldForRandomEvents(@ForAll Kind kind, @ForAll("seeds") long seed) {
        RequestSimulation simulation = new RequestSimulation(kind, FlowAdapter.Factory.real(), seed);
        FakeCaller caller = new FakeCaller(simulation.submitRequest(simulation.secondRouter).request);
        RequestFlow flow = new RequestFlow(caller.request, simulation.firstRouter);
        Random random = new Random(seed);
        RandomEventSource source = new RandomEventSource(random, flow);
        long now = simulation.nowNanos;
        source.recordActions(flow.handle(new RequestEvent.Admitted(), now), caller);
        for (int i = 0; i < 60; i++) {
            now += random.nextInt(200) * FakeOwner.NANOS_PER_MILLI;
            Optional<RequestEvent> event = source.next(now);
            if (event.isPresent()) {
                source.recordActions(flow.handle(event.get(), now), caller);
            }
        }
        assertEquals(List.of(), simulation.violations);
        assertEquals(List.of(), caller.failures);
    }

    @Provide
    Arbitrary<Long> seeds() {
        return Combinators.combine(Arbitraries.longs(), Arbitraries.longs()).as((a, b) -> a ^ b);
    }

    /** Generates random events of the current and former attempts. */
    private static final class RandomEventSource {

        private final Random random;
        private final RequestFlow flow;
        private final Set<RequestAttempt> sent = new HashSet<>();
        private final Map<RequestAttempt, Boolean> responded = new HashMap<>();
        private final List<Long> writes = new ArrayList<>();
        private final List<Long> reads = new ArrayList<>();

        RandomEventSource(Random random, RequestFlow flow) {
            this.random = random;
            this.flow = flow;
        }

        void recordActions(List<RequestAction> actions, FakeCaller caller) {
            for (RequestAction action : actions) {
                if (action instanceof RequestAction.WriteRecord write) {
                    writes.add(write.sequence());
                } else if (action instanceof RequestAction.ReadRecord read) {
                    reads.add(read.sequence());
                } else {
                    caller.receive(action);
                }
            }
        }

        Optional<RequestEvent> next(long now) {
            RequestAttempt attempt = flow.attempt().orElseThrow();
            if (attempt.attempt() > 1 && random.nextInt(4) == 0) {
                attempt = new RequestAttempt(attempt.request(), 1 + random.nextInt(attempt.attempt()));
            }
            RouterId owner = new RouterId("owner-" + (1 + random.nextInt(2)));
            return switch (random.nextInt(18)) {
                case 0 -> Optional.of(new RequestEvent.OwnerQueued(attempt, Duration.ofMillis(random.nextInt(500))));
                case 1, 2, 3 -> Optional.of(granted(owner, attempt));
                case 4 -> Optional.of(new RequestEvent.OwnerRefused(attempt, refusal(), Duration.ofSeconds(1)));
                case 5 -> Optional.of(new RequestEvent.OwnerRedirected(attempt, owner));
                case 6 -> Optional.of(new RequestEvent.OwnerPreempted(attempt));
                case 7 -> Optional.of(new RequestEvent.OwnerLost(owner));
                case 8 ->
                    random.nextInt(10) == 0 ? Optional.of(new RequestEvent.CallerDisconnected()) : Optional.empty();
                case 9 -> Optional.of(new RequestEvent.TimerFired());
                case 10 -> recordResult();
                case 11, 12 -> sendResult(now);
                default -> backendEvent(attempt);
            };
        }

        private RequestEvent granted(RouterId owner, RequestAttempt attempt) {
            ServerName server = new ServerName("s" + (1 + random.nextInt(3)));
            Duration startTimeout = Duration.ofMillis(500);
            return new RequestEvent.OwnerGranted(owner, attempt, server, "127.0.0.1:1", 1, startTimeout, Duration.ZERO);
        }

        private RefusalCode refusal() {
            return List.of(RefusalCode.values()).get(random.nextInt(RefusalCode.values().length));
        }

        /** Follows the protocol of the client: it writes only after the check, and once per attempt. */
        private Optional<RequestEvent> sendResult(long now) {
            RequestAttempt attempt = flow.attempt().orElseThrow();
            if (!flow.maySend(attempt, now) || sent.contains(attempt)) {
                return Optional.of(new RequestEvent.SendAbandoned(attempt));
            }
            if (random.nextInt(5) == 0) {
                return Optional.of(new RequestEvent.ConnectFailed(attempt));
            }
            sent.add(attempt);
            return Optional.of(new RequestEvent.SendStarted(attempt));
        }

        private Optional<RequestEvent> backendEvent(RequestAttempt attempt) {
            if (!sent.contains(attempt)) {
                return Optional.empty();
            }
            return switch (random.nextInt(7)) {
                case 0 ->
                    responded.putIfAbsent(attempt, true) == null
                            ? Optional.of(new RequestEvent.ServerDeclined(
                                    attempt, random.nextBoolean() ? Reason.COLD : Reason.FENCED))
                            : Optional.empty();
                case 1 -> {
                    responded.put(attempt, true);
                    int status = List.of(200, 200, 200, 404, 500).get(random.nextInt(5));
                    yield Optional.of(new RequestEvent.HeadReceived(attempt, status, Map.of()));
                }
                case 2, 3, 4 ->
                    Optional.of(new RequestEvent.PartReceived(
                            attempt, random.nextInt(4), "x".getBytes(StandardCharsets.UTF_8)));
                case 5 -> Optional.of(new RequestEvent.ResponseEnded(attempt, random.nextInt(5) - 1, ""));
                default ->
                    Optional.of(
                            random.nextBoolean()
                                    ? new RequestEvent.ConnectionBroken(attempt)
                                    : new RequestEvent.StreamFailed(attempt, "out of memory"));
            };
        }

        private Optional<RequestEvent> recordResult() {
            if (!reads.isEmpty()) {
                long sequence = reads.remove(0);
                return Optional.of(new RequestEvent.RecordRead(sequence, Either.right(Optional.empty())));
            }
            if (writes.isEmpty()) {
                return Optional.empty();
            }
            long sequence = writes.remove(0);
            WriteResult result = switch (random.nextInt(4)) {
                case 0, 1 -> new WriteResult(WriteOutcome.APPLIED, 1, Optional.empty());
                case 2 -> WriteResult.unknown();
                default -> new WriteResult(WriteOutcome.NOT_APPLIED, 0, otherRow());
            };
            return Optional.of(new RequestEvent.RecordWritten(sequence, result));
        }

        private Optional<Row> otherRow() {
            String state = List.of("started", "not_run", "unknown").get(random.nextInt(3));
            RowValue value = RowValue.empty()
                    .with("state", state)
                    .with("mark", "other/" + state)
                    .with("attempt", "other")
                    .with("digest", "digest")
                    .with("router", "entry-b")
                    .with("incarnation", 1);
            return random.nextBoolean() ? Optional.empty() : Optional.of(new Row("key", value, 5, false, false));
        }
    }
}
