package org.coltsfootquay.router.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowChanges;
import org.coltsfootquay.decision.store.RowCondition;
import org.coltsfootquay.decision.store.RowValue;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.store.VmEntry;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.standin.fault.Outage;
import org.coltsfootquay.standin.http.RequestHandler;
import org.coltsfootquay.standin.http.SharedEventLoops;
import org.coltsfootquay.standin.http.StandInServer;
import org.coltsfootquay.standin.platform.PlatformStandIn;
import org.coltsfootquay.standin.platform.VmRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against write outcomes that claim more than is known, and against lost or repeated calls. */
final class PlatformClientTest {

    private static final String CALLBACK_THREAD = "test-control";
    private static final RowWrite PUT =
            new RowWrite.Put("a", RowValue.empty().with("f", 1), new RowCondition.Absent(), Optional.empty());

    private final PlatformStandIn platform = new PlatformStandIn().start();
    private final EventLoopGroup eventLoops = ChannelUtils.eventLoops("test-platform", 2);
    private final ExecutorService callbackExecutor =
            Executors.newSingleThreadExecutor(task -> new Thread(task, CALLBACK_THREAD));
    private final List<PlatformClient> clients = new ArrayList<>();
    private final PlatformClient client = client(platform.address(), 300, 8, 8);

    @AfterEach
    void close() throws Exception {
        clients.forEach(PlatformClient::close);
        platform.close();
        callbackExecutor.shutdown();
        ChannelUtils.shutDown(eventLoops).get(10, TimeUnit.SECONDS);
    }

    @Test
    void conditionsAreEvaluatedAndRowsAreReturned() throws Exception {
        assertEquals(WriteOutcome.APPLIED, write(client, PUT).outcome());

        WriteResult second = write(client, PUT);
        assertEquals(WriteOutcome.NOT_APPLIED, second.outcome());
        assertEquals("1", second.current().orElseThrow().value().text("f"));

        long revision = second.current().orElseThrow().revision();
        assertEquals(
                WriteOutcome.NOT_APPLIED,
                write(client, new RowWrite.Delete("a", new RowCondition.RevisionIs(revision + 1)))
                        .outcome());
        assertEquals(
                WriteOutcome.APPLIED,
                write(client, new RowWrite.Check("a", new RowCondition.AbsentOrFieldIs("f", "1")))
                        .outcome());
        assertEquals(
                WriteOutcome.APPLIED,
                write(client, new RowWrite.Touch("a", new RowCondition.Always(), Duration.ofSeconds(9)))
                        .outcome());
        assertEquals(
                WriteOutcome.APPLIED,
                write(client, new RowWrite.Delete("a", new RowCondition.RevisionIs(revision)))
                        .outcome());
        assertEquals(Optional.empty(), read(client, "a").get());
    }

    @Test
    void changesCarryTheRevisionUpToWhichTheyAreComplete() throws Exception {
        write(client, PUT);
        write(client, new RowWrite.Delete("a", new RowCondition.Always()));

        Either<StoreException, RowChanges> changes =
                await(callback -> client.tableStore().changes(List.of("x/y&z", "a"), 1, callback));

        assertEquals(2, changes.get().revision());
        assertTrue(changes.get().rows().get(0).deleted());
    }

    @Test
    void writeWithLostResponseIsUnknownAndNotRepeated() throws Exception {
        platform.faults().turn(faults -> faults.withLoseNextAnswers(1));

        assertEquals(WriteOutcome.UNKNOWN, write(client, PUT).outcome());

        assertTrue(platform.row("a").isPresent());
        assertEquals(1, platform.counters().value("operations"));
        assertEquals(1, client.unknownWrites());
    }

    @Test
    void writeThatTimesOutIsUnknown() throws Exception {
        platform.faults().turn(faults -> faults.withSlowMillis(1_000));
        long startNanos = System.nanoTime();

        assertEquals(WriteOutcome.UNKNOWN, write(client, PUT).outcome());

        assertTrue(System.nanoTime() - startNanos < 900_000_000L, "callback came after the timeout");
    }

    @Test
    void writeRejectedByThePlatformIsNotApplied() throws Exception {
        platform.faults().turn(faults -> faults.withOutage(Outage.UNAVAILABLE));
        assertEquals(WriteOutcome.NOT_APPLIED, write(client, PUT).outcome());
        platform.faults().turn(faults -> faults.withOutage(Outage.NONE).withThrottle(true));
        assertEquals(WriteOutcome.NOT_APPLIED, write(client, PUT).outcome());

        StoreException failure = read(client, "a").getLeft();

        assertEquals(StoreException.Kind.THROTTLED, failure.kind());
        assertEquals(0, platform.counters().value("operations"));
    }

    /** A proxy may respond 503 after it forwarded the request, so only the platform's own error code is trusted. */
    @ParameterizedTest
    @CsvSource({"503, busy", "500, unavailable", "429, busy", "200, unavailable"})
    void writeWithOtherResponseIsUnknown(int status, String code) throws Exception {
        try (StandInServer server = server(exchange -> exchange.answerError(status, code, ""))) {
            assertEquals(
                    WriteOutcome.UNKNOWN,
                    write(client(server.address(), 300, 8, 8), PUT).outcome());
        }
    }

    @Test
    void writeWithRefusedConnectionIsNotApplied() throws Exception {
        platform.close();

        assertEquals(WriteOutcome.NOT_APPLIED, write(client, PUT).outcome());
        assertEquals(
                StoreException.Kind.UNREACHABLE, read(client, "a").getLeft().kind());
    }

    @Test
    void readIsRetriedALimitedNumberOfTimes() throws Exception {
        platform.faults().turn(faults -> faults.withOutage(Outage.BROKEN));

        StoreException failure = read(client, "a").getLeft();

        assertEquals(StoreException.Kind.UNREACHABLE, failure.kind());
        assertEquals(3, platform.counters().value("broken"));
        assertEquals(2, client.readRetries());
    }

    @Test
    void readSucceedsWhenThePlatformRecoversDuringRetries() throws Exception {
        List<Integer> statuses = new ArrayList<>(List.of(503, 500, 404));
        try (StandInServer server = server(exchange -> exchange.answerError(statuses.remove(0), "unavailable", ""))) {
            assertEquals(
                    Optional.empty(),
                    read(client(server.address(), 1_000, 8, 8), "a").get());
        }
    }

    @Test
    void callsBeyondTheLimitAreQueuedOrFailUnsent() throws Exception {
        PlatformClient small = client(platform.address(), 1_000, 2, 1);
        write(small, PUT);
        platform.faults().turn(faults -> faults.withOutage(Outage.SILENT));
        List<CompletableFuture<List<WriteResult>>> results = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            CompletableFuture<List<WriteResult>> result = new CompletableFuture<>();
            small.tableStore().writeIndependently(List.of(PUT), result::complete);
            results.add(result);
        }

        List<WriteOutcome> outcomes = new ArrayList<>();
        for (CompletableFuture<List<WriteResult>> result : results) {
            outcomes.add(result.get(10, TimeUnit.SECONDS).get(0).outcome());
        }

        assertEquals(
                List.of(WriteOutcome.UNKNOWN, WriteOutcome.UNKNOWN, WriteOutcome.NOT_APPLIED, WriteOutcome.NOT_APPLIED),
                outcomes);
        assertEquals(2, platform.counters().value("silent"));
    }

    @Test
    void queuedCallIsSentWhenAnotherEnds() throws Exception {
        PlatformClient small = client(platform.address(), 5_000, 1, 100);
        List<CompletableFuture<List<WriteResult>>> results = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            CompletableFuture<List<WriteResult>> result = new CompletableFuture<>();
            RowWrite write = new RowWrite.Put(
                    "k" + i, RowValue.empty(), new RowCondition.Absent(), Optional.of(Duration.ofSeconds(1)));
            small.tableStore().writeIndependently(List.of(write), result::complete);
            results.add(result);
        }

        for (CompletableFuture<List<WriteResult>> result : results) {
            assertEquals(
                    WriteOutcome.APPLIED,
                    result.get(10, TimeUnit.SECONDS).get(0).outcome());
        }
    }

    @Test
    void callbacksRunOnTheCallbackExecutor() throws Exception {
        CompletableFuture<String> thread = new CompletableFuture<>();

        client.tableStore()
                .read("a", row -> thread.complete(Thread.currentThread().getName()));

        assertEquals(CALLBACK_THREAD, thread.get(10, TimeUnit.SECONDS));
    }

    @Test
    void existingObjectIsReadAndMissingOneReported() throws Exception {
        byte[] content = "content".getBytes(StandardCharsets.UTF_8);
        assertEquals(WriteOutcome.APPLIED, put("config/ab c", content));
        assertEquals(WriteOutcome.NOT_APPLIED, put("config/ab c", new byte[1]));

        assertArrayEquals(
                content,
                PlatformClientTest.<Either<StoreException, byte[]>>await(
                                callback -> client.objectStore().get("config/ab c", callback))
                        .get());
        assertEquals(
                StoreException.Kind.NOT_FOUND,
                PlatformClientTest.<Either<StoreException, byte[]>>await(
                                callback -> client.objectStore().get("config/x", callback))
                        .getLeft()
                        .kind());
    }

    @Test
    void vmListIsDecoded() throws Exception {
        platform.vms().put(new VmRecord("engine-1", "augsburg", "127.0.0.1:9", VmRecord.State.LEAVING, 5));

        Either<StoreException, List<VmEntry>> list =
                await(callback -> client.vmList().read(callback));

        assertEquals(
                List.of(new VmEntry("engine-1", new ZoneName("augsburg"), "127.0.0.1:9", VmEntry.State.LEAVING, 5)),
                list.get());
    }

    @Test
    void closingTheClientEndsItsCalls() throws Exception {
        platform.faults().turn(faults -> faults.withOutage(Outage.SILENT));
        CompletableFuture<List<WriteResult>> open = new CompletableFuture<>();
        PlatformClient slow = client(platform.address(), 60_000, 1, 1);
        slow.tableStore().writeAtomically(List.of(PUT), open::complete);

        slow.close();

        open.get(10, TimeUnit.SECONDS);
        assertEquals(WriteOutcome.NOT_APPLIED, write(slow, PUT).outcome());
    }

    /** Control traffic of a router is limited to 4 KB/s; renewals and polls must leave most of it to other calls. */
    @Test
    void idleRouterStaysFarBelowItsTrafficBudget() throws Exception {
        TableStore store = client.tableStore();
        write(client, PUT);
        long sentBefore = client.traffic().sentBytes();
        long receivedBefore = client.traffic().receivedBytes();

        for (int second = 0; second < 3; second++) {
            PlatformClientTest.<Either<StoreException, RowChanges>>await(
                    callback -> store.changes(List.of("config/", "router/", "server/"), 1, callback));
        }
        write(client, new RowWrite.Touch("router/r1", new RowCondition.RevisionIs(1), Duration.ofSeconds(9)));

        long sent = client.traffic().sentBytes() - sentBefore;
        long received = client.traffic().receivedBytes() - receivedBefore;
        assertTrue(sent > 0 && received > 0, "no traffic was counted");
        assertTrue(sent + received < 3 * 1_024, "bytes in 3 s: sent " + sent + ", received " + received);
    }

    private StandInServer server(RequestHandler handler) {
        StandInServer server = new StandInServer(SharedEventLoops.next(), handler);
        server.start(0);
        return server;
    }

    private PlatformClient client(String address, int timeoutMillis, int maxInFlight, int maxWaiting) {
        PlatformClientSettings settings = new PlatformClientSettings(
                address,
                Duration.ofMillis(timeoutMillis),
                maxInFlight,
                maxWaiting,
                3,
                Duration.ofMillis(2),
                Duration.ofMillis(10));
        PlatformClient created = new PlatformClient(settings, eventLoops, callbackExecutor, new Random(7));
        clients.add(created);
        return created;
    }

    private static WriteResult write(PlatformClient client, RowWrite write) throws Exception {
        return PlatformClientTest.<List<WriteResult>>await(
                        callback -> client.tableStore().writeAtomically(List.of(write), callback))
                .get(0);
    }

    private WriteOutcome put(String name, byte[] content) throws Exception {
        return await(callback -> client.objectStore().put(name, content, callback));
    }

    private static Either<StoreException, Optional<Row>> read(PlatformClient client, String key) throws Exception {
        return await(callback -> client.tableStore().read(key, callback));
    }

    private static <T> T await(Consumer<Consumer<T>> call) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        call.accept(result::complete);
        return result.get(10, TimeUnit.SECONDS);
    }
}
