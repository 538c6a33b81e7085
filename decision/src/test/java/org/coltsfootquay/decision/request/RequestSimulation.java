package org.coltsfootquay.decision.request;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiConsumer;
import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.configuration.AdministrativeState;
import org.coltsfootquay.decision.configuration.BackendServer;
import org.coltsfootquay.decision.configuration.ClassOfWork;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.LatencyTarget;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.configuration.Zone;
import org.coltsfootquay.decision.invariant.InvariantMonitor;
import org.coltsfootquay.decision.invariant.RequestInvariants;
import org.coltsfootquay.decision.membership.Member;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.ownership.OwnerMap;
import org.coltsfootquay.decision.placement.OwnerSelector;
import org.coltsfootquay.decision.placement.PowerOfTwoChoicesSelector;
import org.coltsfootquay.decision.request.CallerRequest.IdempotencyKey;
import org.coltsfootquay.decision.request.RequestEvent.ServerDeclined.Reason;
import org.coltsfootquay.decision.retry.RetryBudget;
import org.coltsfootquay.decision.retry.RetryPolicy;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.WriteResult;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timeline.TimelineSink;

/** Simulation of two entry routers, two owners, three servers, a table service and callers, in simulated time. */
final class RequestSimulation {

    static final int TOKEN_COUNT = 6;
    static final List<String> BODY_PARTS = List.of("posts ", "of yard ", "seven");
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final WorkspaceId WORKSPACE = new WorkspaceId("workspace");
    private static final long MAX_TIME_NANOS = Duration.ofSeconds(400).toNanos();

    long nowNanos = 1_000 * FakeOwner.NANOS_PER_MILLI;
    FleetConfiguration configuration;
    final FakeTable table = new FakeTable();
    final List<FakeServer> servers =
            List.of(new FakeServer("s1", "z1"), new FakeServer("s2", "z1"), new FakeServer("s3", "z2"));
    final List<FakeOwner> owners;
    final FakeRouter firstRouter;
    final FakeRouter secondRouter;
    final List<FakeCaller> callers = new ArrayList<>();
    final List<TimelineEvent> violations = new ArrayList<>();
    final List<String> failures = new ArrayList<>();
    final Map<RequestId, Integer> executions = new HashMap<>();
    final Map<String, Integer> executionsByKey = new HashMap<>();
    final Kind kind;
    long storeDownUntilNanos;
    int writeResponsesToLose;
    int writesToDelay;
    private final FlowAdapter.Factory flows;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final Map<FakeServer, Long> ownerFencing = new HashMap<>();
    private BiConsumer<Step, RequestId> stepListener = (step, request) -> {};
    private long sequence;
    private int version = 1;
    private int requestCount;

    RequestSimulation(Kind kind, FlowAdapter.Factory flows, long seed) {
        this.kind = kind;
        this.flows = flows;
        this.configuration = configuration(Set.of(), Set.of());
        this.owners = List.of(
                new FakeOwner("owner-1", List.of(servers.get(0), servers.get(2)), this),
                new FakeOwner("owner-2", List.of(servers.get(1)), this));
        this.firstRouter = new FakeRouter("entry-a", seed);
        this.secondRouter = new FakeRouter("entry-b", seed + 1);
    }

    void onStep(BiConsumer<Step, RequestId> listener) {
        stepListener = listener;
    }

    FakeCaller submitRequest(FakeRouter router) {
        RequestId id = new RequestId(router.id + "-" + router.incarnation + "-" + ++requestCount);
        boolean booking = kind.booking();
        LatencyTarget target =
                new LatencyTarget(Optional.of(Duration.ofSeconds(1)), Optional.empty(), Optional.empty());
        ClassOfWork work = new ClassOfWork(
                new ClassOfWorkName("class"), SERVICE, target, Duration.ofSeconds(10), !booking, List.of(), true);
        boolean model = kind.model();
        CallerRequest request = new CallerRequest(
                id,
                WORKSPACE,
                work,
                model ? ServiceKind.MODEL : ServiceKind.APPLICATION,
                100,
                200,
                List.of(1L, 2L),
                kind.streamed(),
                booking ? Optional.of(new IdempotencyKey("key", "digest")) : Optional.empty());
        FakeCaller caller = new FakeCaller(request);
        callers.add(caller);
        router.admit(caller);
        return caller;
    }

    void schedule(long millis, Runnable task) {
        scheduleNanos(millis * FakeOwner.NANOS_PER_MILLI, task);
    }

    void scheduleNanos(long nanos, Runnable task) {
        tasks.add(new Task(nowNanos + nanos, sequence++, task));
    }

    /** Runs all tasks until none is left. */
    void run() {
        while (!tasks.isEmpty()) {
            Task task = tasks.poll();
            nowNanos = Math.max(nowNanos, task.at);
            if (nowNanos > MAX_TIME_NANOS) {
                failures.add("tasks left after " + Duration.ofNanos(MAX_TIME_NANOS));
                return;
            }
            task.run.run();
        }
    }

    void setLeaving(Set<ZoneName> zones, Set<ServerName> leavingServers) {
        configuration = configuration(zones, leavingServers);
    }

    long ownerFencing(FakeServer server) {
        return ownerFencing.getOrDefault(server, 1L);
    }

    /** Raises the fencing number of a server, as a newer owner does; its granting owner learns it 200 ms later. */
    void fence(FakeServer server) {
        server.fencingNumber++;
        long number = server.fencingNumber;
        schedule(200, () -> ownerFencing.put(server, number));
    }

    String expectedBody() {
        if (kind.model()) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < TOKEN_COUNT; i++) {
                text.append(token(i));
            }
            return text.toString();
        }
        return String.join("", BODY_PARTS);
    }

    private static String token(int position) {
        return "t" + position + ";";
    }

    private FleetConfiguration configuration(Set<ZoneName> leavingZones, Set<ServerName> leavingServers) {
        Map<ZoneName, Zone> zones = new LinkedHashMap<>();
        Map<ServerName, BackendServer> byName = new LinkedHashMap<>();
        for (FakeServer server : servers) {
            zones.put(
                    server.zone, new Zone(server.zone, new RegionName("r"), state(leavingZones.contains(server.zone))));
            byName.put(
                    server.name,
                    new BackendServer(
                            server.name,
                            SERVICE,
                            server.zone,
                            "127.0.0.1:1",
                            true,
                            state(leavingServers.contains(server.name))));
        }
        return new FleetConfiguration(version++, zones, Map.of(), byName, Map.of(), Map.of());
    }

    private static AdministrativeState state(boolean leaving) {
        return leaving ? AdministrativeState.LEAVING : AdministrativeState.IN_SERVICE;
    }

    /** Kinds of requests; a booking is not idempotent. */
    enum Kind {
        MODEL_WHOLE,
        MODEL_STREAMED,
        APPLICATION_READ,
        APPLICATION_READ_STREAMED,
        BOOKING,
        BOOKING_STREAMED;

        boolean model() {
            return this == MODEL_WHOLE || this == MODEL_STREAMED;
        }

        boolean streamed() {
            return this == MODEL_STREAMED || this == APPLICATION_READ_STREAMED || this == BOOKING_STREAMED;
        }

        boolean booking() {
            return this == BOOKING || this == BOOKING_STREAMED;
        }
    }

    /** Steps of a request. A step is reached when its event was handled, a grant just before that. */
    enum Step {
        PLACED,
        QUEUED,
        GRANTED,
        CONNECTING,
        RECORD_BEING_WRITTEN,
        RECORD_WRITTEN,
        SENT,
        FIRST_TOKEN,
        MID_STREAM,
        LAST_TOKEN,
        FINISHED
    }

    private record Task(long at, long sequence, Runnable run) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** Simulated entry router. */
    final class FakeRouter implements RequestEnvironment {

        final RouterId id;
        long incarnation = 1;
        long isolatedUntilNanos;
        long pausedUntilNanos;
        private final Map<RequestId, FlowAdapter> openFlows = new HashMap<>();
        private final Map<RequestId, FakeCaller> callersById = new HashMap<>();
        private final Set<RequestId> knownRequests = new HashSet<>();
        private final Map<RequestId, FakeServer> serverByRequest = new HashMap<>();
        private final PowerOfTwoChoicesSelector selector;
        private final RetryBudget budget;
        private RequestInvariants invariants = new RequestInvariants(new InvariantMonitor(violations::add));

        FakeRouter(String id, long seed) {
            this.id = new RouterId(id);
            OwnerMap map = new OwnerMap(
                    Map.of(),
                    Map.of(SERVICE, owners.stream().map(owner -> owner.id).toList()));
            this.selector = new PowerOfTwoChoicesSelector(new ZoneName("z1"), () -> map, this::membership, seed);
            this.budget = new RetryBudget(seed);
            for (int i = 0; i < 100; i++) {
                budget.recordRequest(SERVICE, nowNanos);
            }
        }

        void admit(FakeCaller caller) {
            RequestId request = caller.request.id();
            callersById.put(request, caller);
            knownRequests.add(request);
            openFlows.put(request, flows.create(caller.request, this));
            deliver(request, new RequestEvent.Admitted());
        }

        boolean knows(RequestId request) {
            return knownRequests.contains(request);
        }

        int openFlowCount() {
            return openFlows.size();
        }

        RequestInvariants invariants() {
            return invariants;
        }

        Optional<FakeServer> serverOf(RequestId request) {
            return Optional.ofNullable(serverByRequest.get(request));
        }

        /** Runs a task of this router, delayed while the router is paused; a restart discards delayed tasks. */
        void execute(Runnable task) {
            long startedAs = incarnation;
            if (nowNanos < pausedUntilNanos) {
                scheduleNanos(pausedUntilNanos - nowNanos, () -> {
                    if (startedAs == incarnation) {
                        execute(task);
                    }
                });
            } else {
                task.run();
            }
        }

        void deliver(RequestId request, RequestEvent event) {
            execute(() -> handle(request, event));
        }

        void restart() {
            incarnation++;
            openFlows.clear();
            invariants = new RequestInvariants(new InvariantMonitor(violations::add));
            callersById.values().forEach(caller -> caller.disconnect("connection broken"));
            owners.forEach(owner -> owner.routerLost(this));
            servers.forEach(server -> server.connections.stream()
                    .filter(connection -> knows(connection.attempt.request()))
                    .forEach(connection -> connection.open = false));
        }

        private void handle(RequestId request, RequestEvent event) {
            if (event instanceof RequestEvent.OwnerGranted && openFlows.containsKey(request)) {
                stepListener.accept(Step.GRANTED, request);
            }
            FlowAdapter flow = openFlows.get(request);
            if (flow == null) {
                if (event instanceof RequestEvent.OwnerGranted granted) {
                    owner(granted.owner()).release(granted.attempt());
                }
                return;
            }
            List<RequestAction> actions = flow.handle(event, nowNanos);
            for (RequestAction action : actions) {
                perform(request, flow, action);
            }
            step(event, actions).ifPresent(step -> stepListener.accept(step, request));
        }

        private Optional<Step> step(RequestEvent event, List<RequestAction> actions) {
            boolean model = kind.model();
            if (actions.stream().anyMatch(RequestAction.WriteRecord.class::isInstance)
                    && event instanceof RequestEvent.OwnerGranted) {
                return Optional.of(Step.RECORD_BEING_WRITTEN);
            } else if (event instanceof RequestEvent.Admitted) {
                return Optional.of(Step.PLACED);
            } else if (event instanceof RequestEvent.OwnerQueued) {
                return Optional.of(Step.QUEUED);
            } else if (event instanceof RequestEvent.OwnerGranted) {
                return Optional.of(Step.CONNECTING);
            } else if (event instanceof RequestEvent.RecordWritten) {
                return Optional.of(Step.RECORD_WRITTEN);
            } else if (event instanceof RequestEvent.SendStarted) {
                return Optional.of(Step.SENT);
            } else if (event instanceof RequestEvent.PartReceived part) {
                long last = model
                        ? TOKEN_COUNT - 1
                        : expectedBody().length() - BODY_PARTS.get(2).length();
                if (part.position() == 0) {
                    return Optional.of(Step.FIRST_TOKEN);
                }
                return Optional.of(part.position() == last ? Step.LAST_TOKEN : Step.MID_STREAM);
            } else if (event instanceof RequestEvent.ResponseEnded) {
                return Optional.of(Step.FINISHED);
            }
            return Optional.empty();
        }

        private void perform(RequestId request, FlowAdapter flow, RequestAction action) {
            if (action instanceof RequestAction.EnqueueAtOwner enqueue) {
                schedule(1, () -> owner(enqueue.owner()).enqueue(this, enqueue));
            } else if (action instanceof RequestAction.WithdrawFromOwner withdraw) {
                schedule(1, () -> owner(withdraw.owner()).release(withdraw.attempt()));
            } else if (action instanceof RequestAction.ReportFinished finished) {
                schedule(1, () -> owner(finished.owner()).release(finished.attempt()));
            } else if (action instanceof RequestAction.SendToServer send) {
                FakeServer server = server(send.server());
                FakeServer.Connection connection = new FakeServer.Connection(send.attempt());
                server.connections.add(connection);
                schedule(1, () -> execute(() -> connect(request, flow, server, connection, send)));
            } else if (action instanceof RequestAction.ResumeOnServer resume) {
                schedule(1, () -> resume(request, server(resume.server()), resume));
            } else if (action instanceof RequestAction.CancelOnServer cancel) {
                server(cancel.server()).connections.stream()
                        .filter(connection -> connection.attempt.equals(cancel.attempt()))
                        .forEach(connection -> connection.open = false);
                // Delivers parts that were in transit when the request was cancelled, also during the next attempt.
                deliverLate(request, cancel.attempt());
            } else if (action instanceof RequestAction.WriteRecord write) {
                schedule(2, () -> write(request, write));
            } else if (action instanceof RequestAction.ReadRecord read) {
                Either<StoreException, Optional<org.coltsfootquay.decision.store.Row>> result =
                        nowNanos < storeDownUntilNanos
                                ? Either.left(new StoreException(StoreException.Kind.UNREACHABLE, "retry"))
                                : Either.right(table.read(read.key()));
                schedule(2, () -> deliver(request, new RequestEvent.RecordRead(read.sequence(), result)));
            } else if (action instanceof RequestAction.ScheduleTimer timer) {
                scheduleNanos(
                        Math.max(0, timer.atNanos() - nowNanos), () -> deliver(request, new RequestEvent.TimerFired()));
            } else if (action instanceof RequestAction.Close) {
                openFlows.remove(request);
            } else {
                callersById.get(request).receive(action);
            }
        }

        private void deliverLate(RequestId request, RequestAttempt attempt) {
            byte[] late = "late".getBytes(StandardCharsets.UTF_8);
            for (int delay : new int[] {1, 18, 23, 28, 60}) {
                for (int position = 0; position <= TOKEN_COUNT; position++) {
                    RequestEvent part = new RequestEvent.PartReceived(attempt, position, late);
                    schedule(delay, () -> deliver(request, part));
                }
                schedule(delay, () -> deliver(request, new RequestEvent.ResponseEnded(attempt, -1, "")));
            }
        }

        private void write(RequestId request, RequestAction.WriteRecord write) {
            WriteResult result = WriteResult.unknown();
            if (nowNanos >= storeDownUntilNanos) {
                if (writesToDelay > 0) {
                    writesToDelay--;
                    schedule(800, () -> table.apply(write.write()));
                } else if (writeResponsesToLose > 0) {
                    writeResponsesToLose--;
                    table.apply(write.write());
                } else {
                    result = table.apply(write.write());
                }
            }
            RequestEvent event = new RequestEvent.RecordWritten(write.sequence(), result);
            schedule(2, () -> deliver(request, event));
        }

        private void connect(
                RequestId request,
                FlowAdapter flow,
                FakeServer server,
                FakeServer.Connection connection,
                RequestAction.SendToServer send) {
            if (!connection.open || this.openFlows.get(request) != flow) {
                return;
            }
            if (nowNanos < server.refusingUntilNanos) {
                deliver(request, new RequestEvent.ConnectFailed(send.attempt()));
                return;
            }
            if (!flow.maySend(send.attempt(), nowNanos)) {
                deliver(request, new RequestEvent.SendAbandoned(send.attempt()));
                return;
            }
            if (!configuration.admitsWork(server.name) || isIsolated()) {
                failures.add("sent to " + server.name + " although it admits no work or the router is cut off");
            }
            connection.written = true;
            serverByRequest.put(request, server);
            boolean declined = nowNanos < server.coldUntilNanos || send.fencingNumber() < server.fencingNumber;
            if (!declined) {
                executions.merge(request, 1, Integer::sum);
                executionsByKey.merge("key", 1, Integer::sum);
                server.resumableStreams.put(send.attempt(), send.continueFrom().size());
            }
            deliver(request, new RequestEvent.SendStarted(send.attempt()));
            if (declined) {
                Reason reason = nowNanos < server.coldUntilNanos ? Reason.COLD : Reason.FENCED;
                schedule(
                        1,
                        () -> onConnection(connection, request, () -> {
                            connection.open = false;
                            deliver(request, new RequestEvent.ServerDeclined(send.attempt(), reason));
                        }));
            } else if (server.breakNextConnection) {
                server.breakNextConnection = false;
                schedule(1, () -> breakConnection(server, connection));
            } else {
                respond(request, connection, send.continueFrom().size());
            }
        }

        private void resume(RequestId request, FakeServer server, RequestAction.ResumeOnServer resume) {
            if (nowNanos < server.refusingUntilNanos) {
                deliver(request, new RequestEvent.ConnectFailed(resume.attempt()));
                return;
            }
            FakeServer.Connection connection = new FakeServer.Connection(resume.attempt());
            connection.written = true;
            server.connections.add(connection);
            if (!server.resumableStreams.containsKey(resume.attempt())) {
                schedule(
                        1,
                        () -> onConnection(
                                connection,
                                request,
                                () -> deliver(
                                        request, new RequestEvent.HeadReceived(resume.attempt(), 404, Map.of()))));
                return;
            }
            respond(request, connection, (int) resume.fromPosition());
        }

        private void respond(RequestId request, FakeServer.Connection connection, int from) {
            RequestAttempt attempt = connection.attempt;
            boolean model = kind.model();
            List<String> parts = new ArrayList<>(BODY_PARTS);
            if (model) {
                parts.clear();
                for (int i = 0; i < TOKEN_COUNT; i++) {
                    parts.add(token(i));
                }
            }
            long delay = 5;
            RequestEvent head = new RequestEvent.HeadReceived(attempt, 200, Map.of());
            schedule(delay, () -> onConnection(connection, request, () -> deliver(request, head)));
            long position = 0;
            for (int i = 0; i < parts.size(); i++) {
                byte[] data = parts.get(i).getBytes(StandardCharsets.UTF_8);
                if (i >= from) {
                    delay += 5;
                    RequestEvent part = new RequestEvent.PartReceived(attempt, position, data);
                    schedule(delay, () -> onConnection(connection, request, () -> deliver(request, part)));
                }
                position += model ? 1 : data.length;
            }
            RequestEvent end = new RequestEvent.ResponseEnded(attempt, position, "stop");
            schedule(
                    delay + 5,
                    () -> onConnection(connection, request, () -> {
                        deliver(request, end);
                        connection.open = false;
                    }));
        }

        private void onConnection(FakeServer.Connection connection, RequestId request, Runnable task) {
            if (connection.open && knows(request)) {
                task.run();
            }
        }

        void breakConnection(FakeServer server, FakeServer.Connection connection) {
            if (connection.open && connection.written) {
                connection.open = false;
                server.connections.remove(connection);
                RequestAttempt attempt = connection.attempt;
                deliver(attempt.request(), new RequestEvent.ConnectionBroken(attempt));
            }
        }

        @Override
        public RouterId self() {
            return id;
        }

        @Override
        public long incarnation() {
            return incarnation;
        }

        @Override
        public FleetConfiguration configuration() {
            return configuration;
        }

        @Override
        public MembershipView membership() {
            Map<RouterId, Member> members = new HashMap<>();
            for (FakeRouter router :
                    firstRouter == null || secondRouter == null ? List.of(this) : List.of(firstRouter, secondRouter)) {
                members.put(
                        router.id,
                        new Member(
                                router.id,
                                router.incarnation,
                                new ZoneName("z1"),
                                new RegionName("r"),
                                "127.0.0.1:1",
                                "127.0.0.1:2",
                                false,
                                1));
            }
            return new MembershipView(members, 1);
        }

        @Override
        public boolean isIsolated() {
            return nowNanos < isolatedUntilNanos;
        }

        @Override
        public OwnerSelector ownerSelector() {
            return selector;
        }

        @Override
        public RetryPolicy retryPolicy() {
            return budget;
        }

        @Override
        public TimelineSink timeline() {
            return TimelineSink.NONE;
        }

        @Override
        public RequestObserver observer() {
            return invariants;
        }
    }

    FakeOwner owner(RouterId id) {
        return owners.stream().filter(owner -> owner.id.equals(id)).findFirst().orElseThrow();
    }

    FakeServer server(ServerName name) {
        return servers.stream()
                .filter(server -> server.name.equals(name))
                .findFirst()
                .orElseThrow();
    }
}
