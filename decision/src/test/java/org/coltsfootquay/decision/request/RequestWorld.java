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
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RequestClassName;
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
import org.coltsfootquay.decision.request.RequestEvent.ServerDeclined.Statement;
import org.coltsfootquay.decision.retry.RetryBudget;
import org.coltsfootquay.decision.retry.RetryPolicy;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.WriteResult;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timeline.TimelineSink;

/** Two entry routers, two owners, three servers, a table service and callers in simulated time. */
final class RequestWorld {

    static final int TOKENS = 6;
    static final List<String> BODY = List.of("posts ", "of yard ", "seven");
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final WorkspaceId WORKSPACE = new WorkspaceId("workspace");
    private static final long LIMIT_NANOS = Duration.ofSeconds(400).toNanos();

    long now = 1_000 * FakeOwner.MILLI;
    FleetConfiguration configuration;
    final FakeTable table = new FakeTable();
    final List<FakeServer> servers =
            List.of(new FakeServer("s1", "z1"), new FakeServer("s2", "z1"), new FakeServer("s3", "z2"));
    final List<FakeOwner> owners;
    final Entry first;
    final Entry second;
    final List<FakeCaller> callers = new ArrayList<>();
    final List<TimelineEvent> violations = new ArrayList<>();
    final List<String> faults = new ArrayList<>();
    final Map<RequestId, Integer> executions = new HashMap<>();
    final Map<String, Integer> executionsByKey = new HashMap<>();
    final Kind kind;
    long storeDownUntil;
    int answersToLose;
    int writesToDelay;
    private final FlowPort.Factory flows;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final Map<FakeServer, Long> ownerFencing = new HashMap<>();
    private BiConsumer<Step, RequestId> stepListener = (step, request) -> {};
    private long sequence;
    private int version = 1;
    private int requestCount;

    RequestWorld(Kind kind, FlowPort.Factory flows, long seed) {
        this.kind = kind;
        this.flows = flows;
        this.configuration = configuration(Set.of(), Set.of());
        this.owners = List.of(
                new FakeOwner("owner-1", List.of(servers.get(0), servers.get(2)), this),
                new FakeOwner("owner-2", List.of(servers.get(1)), this));
        this.first = new Entry("entry-a", seed);
        this.second = new Entry("entry-b", seed + 1);
    }

    void onStep(BiConsumer<Step, RequestId> listener) {
        stepListener = listener;
    }

    FakeCaller call(Entry entry) {
        RequestId id = new RequestId(entry.id + "-" + entry.incarnation + "-" + ++requestCount);
        boolean booking = kind.booking();
        LatencyTarget target =
                new LatencyTarget(Optional.of(Duration.ofSeconds(1)), Optional.empty(), Optional.empty());
        ClassOfWork work = new ClassOfWork(
                new RequestClassName("class"), SERVICE, target, Duration.ofSeconds(10), !booking, List.of(), true);
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
        entry.admit(caller);
        return caller;
    }

    void after(long millis, Runnable task) {
        afterNanos(millis * FakeOwner.MILLI, task);
    }

    void afterNanos(long nanos, Runnable task) {
        tasks.add(new Task(now + nanos, sequence++, task));
    }

    /** Runs until nothing is left to do. */
    void run() {
        while (!tasks.isEmpty()) {
            Task task = tasks.poll();
            now = Math.max(now, task.at);
            if (now > LIMIT_NANOS) {
                faults.add("no end within " + Duration.ofNanos(LIMIT_NANOS));
                return;
            }
            task.run.run();
        }
    }

    void leave(Set<ZoneName> zones, Set<ServerName> leavingServers) {
        configuration = configuration(zones, leavingServers);
    }

    long ownerFencing(FakeServer server) {
        return ownerFencing.getOrDefault(server, 1L);
    }

    /** A newer owner used the server; the owner that grants learns its number only later. */
    void fence(FakeServer server) {
        server.fencingNumber++;
        long number = server.fencingNumber;
        after(200, () -> ownerFencing.put(server, number));
    }

    String expected() {
        if (kind.model()) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < TOKENS; i++) {
                text.append(token(i));
            }
            return text.toString();
        }
        return String.join("", BODY);
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

    /** Kinds of requests. */
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

    /** Steps of a request, each reached when its event was handled; a grant is reached just before that. */
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

    /** Entry router of the test world. */
    final class Entry implements RequestEnvironment {

        final RouterId id;
        long incarnation = 1;
        long cutOffUntil;
        long pausedUntil;
        private final Map<RequestId, FlowPort> open = new HashMap<>();
        private final Map<RequestId, FakeCaller> callersById = new HashMap<>();
        private final Set<RequestId> known = new HashSet<>();
        private final Map<RequestId, FakeServer> sentTo = new HashMap<>();
        private final PowerOfTwoChoicesSelector selector;
        private final RetryBudget budget;
        private RequestInvariants invariants = new RequestInvariants(new InvariantMonitor(violations::add));

        Entry(String id, long seed) {
            this.id = new RouterId(id);
            OwnerMap map = new OwnerMap(
                    Map.of(),
                    Map.of(SERVICE, owners.stream().map(owner -> owner.id).toList()));
            this.selector = new PowerOfTwoChoicesSelector(new ZoneName("z1"), () -> map, this::members, seed);
            this.budget = new RetryBudget(seed);
            for (int i = 0; i < 100; i++) {
                budget.recordRequest(SERVICE, now);
            }
        }

        void admit(FakeCaller caller) {
            RequestId request = caller.request.id();
            callersById.put(request, caller);
            known.add(request);
            open.put(request, flows.create(caller.request, this));
            deliver(request, new RequestEvent.Admitted());
        }

        boolean knows(RequestId request) {
            return known.contains(request);
        }

        int openFlows() {
            return open.size();
        }

        RequestInvariants invariants() {
            return invariants;
        }

        Optional<FakeServer> serverOf(RequestId request) {
            return Optional.ofNullable(sentTo.get(request));
        }

        /** Runs a task of this router: later when it is paused, never when it restarted. */
        void execute(Runnable task) {
            long startedAs = incarnation;
            if (now < pausedUntil) {
                afterNanos(pausedUntil - now, () -> {
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
            open.clear();
            invariants = new RequestInvariants(new InvariantMonitor(violations::add));
            callersById.values().forEach(caller -> caller.leave("connection broken"));
            owners.forEach(owner -> owner.entryLost(this));
            servers.forEach(server -> server.connections.stream()
                    .filter(connection -> knows(connection.attempt.request()))
                    .forEach(connection -> connection.open = false));
        }

        private void handle(RequestId request, RequestEvent event) {
            if (event instanceof RequestEvent.OwnerGranted && open.containsKey(request)) {
                stepListener.accept(Step.GRANTED, request);
            }
            FlowPort flow = open.get(request);
            if (flow == null) {
                if (event instanceof RequestEvent.OwnerGranted granted) {
                    owner(granted.owner()).release(granted.attempt());
                }
                return;
            }
            List<RequestAction> actions = flow.handle(event, now);
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
                long last =
                        model ? TOKENS - 1 : expected().length() - BODY.get(2).length();
                if (part.position() == 0) {
                    return Optional.of(Step.FIRST_TOKEN);
                }
                return Optional.of(part.position() == last ? Step.LAST_TOKEN : Step.MID_STREAM);
            } else if (event instanceof RequestEvent.AnswerEnded) {
                return Optional.of(Step.FINISHED);
            }
            return Optional.empty();
        }

        private void perform(RequestId request, FlowPort flow, RequestAction action) {
            if (action instanceof RequestAction.EnqueueAtOwner enqueue) {
                after(1, () -> owner(enqueue.owner()).enqueue(this, enqueue));
            } else if (action instanceof RequestAction.WithdrawFromOwner withdraw) {
                after(1, () -> owner(withdraw.owner()).release(withdraw.attempt()));
            } else if (action instanceof RequestAction.ReportFinished finished) {
                after(1, () -> owner(finished.owner()).release(finished.attempt()));
            } else if (action instanceof RequestAction.OpenOnServer openOnServer) {
                FakeServer server = server(openOnServer.server());
                FakeServer.Connection connection = new FakeServer.Connection(openOnServer.attempt());
                server.connections.add(connection);
                after(1, () -> execute(() -> connect(request, flow, server, connection, openOnServer)));
            } else if (action instanceof RequestAction.ResumeOnServer resume) {
                after(1, () -> resume(request, server(resume.server()), resume));
            } else if (action instanceof RequestAction.CancelOnServer cancel) {
                server(cancel.server()).connections.stream()
                        .filter(connection -> connection.attempt.equals(cancel.attempt()))
                        .forEach(connection -> connection.open = false);
                // Parts that were on their way when the request was cancelled, also while the next attempt runs.
                deliverLate(request, cancel.attempt());
            } else if (action instanceof RequestAction.WriteRecord write) {
                after(2, () -> write(request, write));
            } else if (action instanceof RequestAction.ReadRecord read) {
                Either<StoreException, Optional<org.coltsfootquay.decision.store.Row>> result = now < storeDownUntil
                        ? Either.left(new StoreException(StoreException.Kind.UNREACHABLE, "retry"))
                        : Either.right(table.read(read.key()));
                after(2, () -> deliver(request, new RequestEvent.RecordRead(read.sequence(), result)));
            } else if (action instanceof RequestAction.ScheduleTimer timer) {
                afterNanos(Math.max(0, timer.atNanos() - now), () -> deliver(request, new RequestEvent.TimePassed()));
            } else if (action instanceof RequestAction.Close) {
                open.remove(request);
            } else {
                callersById.get(request).receive(action);
            }
        }

        private void deliverLate(RequestId request, RequestAttempt attempt) {
            byte[] late = "late".getBytes(StandardCharsets.UTF_8);
            for (int delay : new int[] {1, 18, 23, 28, 60}) {
                for (int position = 0; position <= TOKENS; position++) {
                    RequestEvent part = new RequestEvent.PartReceived(attempt, position, late);
                    after(delay, () -> deliver(request, part));
                }
                after(delay, () -> deliver(request, new RequestEvent.AnswerEnded(attempt, -1, "")));
            }
        }

        private void write(RequestId request, RequestAction.WriteRecord write) {
            WriteResult result = WriteResult.unknown();
            if (now >= storeDownUntil) {
                if (writesToDelay > 0) {
                    writesToDelay--;
                    after(800, () -> table.apply(write.write()));
                } else if (answersToLose > 0) {
                    answersToLose--;
                    table.apply(write.write());
                } else {
                    result = table.apply(write.write());
                }
            }
            RequestEvent event = new RequestEvent.RecordWritten(write.sequence(), result);
            after(2, () -> deliver(request, event));
        }

        private void connect(
                RequestId request,
                FlowPort flow,
                FakeServer server,
                FakeServer.Connection connection,
                RequestAction.OpenOnServer open) {
            if (!connection.open || this.open.get(request) != flow) {
                return;
            }
            if (now < server.refusingUntil) {
                deliver(request, new RequestEvent.ConnectFailed(open.attempt()));
                return;
            }
            if (!flow.maySend(open.attempt(), now)) {
                deliver(request, new RequestEvent.SendAbandoned(open.attempt()));
                return;
            }
            if (!configuration.admitsWork(server.name) || cutOff()) {
                faults.add("sent to " + server.name + " that admits no work, or while cut off");
            }
            connection.written = true;
            sentTo.put(request, server);
            boolean declined = now < server.coldUntil || open.fencingNumber() < server.fencingNumber;
            if (!declined) {
                executions.merge(request, 1, Integer::sum);
                executionsByKey.merge("key", 1, Integer::sum);
                server.held.put(open.attempt(), open.continueFrom().size());
            }
            deliver(request, new RequestEvent.SendStarted(open.attempt()));
            if (declined) {
                Statement statement = now < server.coldUntil ? Statement.COLD : Statement.FENCED;
                after(
                        1,
                        () -> onConnection(connection, request, () -> {
                            connection.open = false;
                            deliver(request, new RequestEvent.ServerDeclined(open.attempt(), statement));
                        }));
            } else if (server.breakNext) {
                server.breakNext = false;
                after(1, () -> breakConnection(server, connection));
            } else {
                answer(request, connection, open.continueFrom().size());
            }
        }

        private void resume(RequestId request, FakeServer server, RequestAction.ResumeOnServer resume) {
            if (now < server.refusingUntil) {
                deliver(request, new RequestEvent.ConnectFailed(resume.attempt()));
                return;
            }
            FakeServer.Connection connection = new FakeServer.Connection(resume.attempt());
            connection.written = true;
            server.connections.add(connection);
            if (!server.held.containsKey(resume.attempt())) {
                after(
                        1,
                        () -> onConnection(
                                connection,
                                request,
                                () -> deliver(
                                        request, new RequestEvent.HeadReceived(resume.attempt(), 404, Map.of()))));
                return;
            }
            answer(request, connection, (int) resume.from());
        }

        private void answer(RequestId request, FakeServer.Connection connection, int from) {
            RequestAttempt attempt = connection.attempt;
            boolean model = kind.model();
            List<String> parts = new ArrayList<>(BODY);
            if (model) {
                parts.clear();
                for (int i = 0; i < TOKENS; i++) {
                    parts.add(token(i));
                }
            }
            long delay = 5;
            RequestEvent head = new RequestEvent.HeadReceived(attempt, 200, Map.of());
            after(delay, () -> onConnection(connection, request, () -> deliver(request, head)));
            long position = 0;
            for (int i = 0; i < parts.size(); i++) {
                byte[] data = parts.get(i).getBytes(StandardCharsets.UTF_8);
                if (i >= from) {
                    delay += 5;
                    RequestEvent part = new RequestEvent.PartReceived(attempt, position, data);
                    after(delay, () -> onConnection(connection, request, () -> deliver(request, part)));
                }
                position += model ? 1 : data.length;
            }
            RequestEvent end = new RequestEvent.AnswerEnded(attempt, position, "stop");
            after(
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
        public MembershipView members() {
            Map<RouterId, Member> members = new HashMap<>();
            for (Entry entry : first == null || second == null ? List.of(this) : List.of(first, second)) {
                members.put(
                        entry.id,
                        new Member(
                                entry.id,
                                entry.incarnation,
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
        public boolean cutOff() {
            return now < cutOffUntil;
        }

        @Override
        public OwnerSelector owners() {
            return selector;
        }

        @Override
        public RetryPolicy retries() {
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
