package org.coltsfootquay.router.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.ownership.OwnerMap;
import org.coltsfootquay.router.backend.ScriptedServer;
import org.coltsfootquay.standin.fault.Outage;
import org.junit.jupiter.api.Test;

class RouterDaemonFaultTest {

    /** Guards against a router that buffers the response to a slow caller without bound. */
    @Test
    void slowCallerAppliesBackpressureToTheServer() throws Exception {
        int size = 48 << 20;
        AtomicLong written = new AtomicLong();
        try (ScriptedServer server = new ScriptedServer((head, output, socket) -> {
                    if (head.startsWith("GET /v1/load")) {
                        output.write(ScriptedServer.response(404, ""));
                        return;
                    }
                    output.write(ScriptedServer.ascii("HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n"));
                    byte[] block = new byte[64 * 1024];
                    for (int sent = 0; sent < size; sent += block.length) {
                        output.write(block);
                        written.addAndGet(block.length);
                    }
                });
                TestFleet fleet = new TestFleet(1, 1, server.address())) {
            HttpResponse<InputStream> response = fleet.httpClient.send(
                    fleet.request(fleet.routers.get(0), "/status/large", TestFleet.WORKSPACE_KEY)
                            .build(),
                    HttpResponse.BodyHandlers.ofInputStream());
            assertEquals(200, response.statusCode());
            long before;
            do {
                before = written.get();
                Thread.sleep(300);
            } while (written.get() != before);
            assertTrue(before < size / 2, "the server wrote " + before + " bytes while the caller did not read");
            long read = 0;
            byte[] block = new byte[64 * 1024];
            for (int next = response.body().read(block);
                    next >= 0;
                    next = response.body().read(block)) {
                read += next;
            }
            assertEquals(size, read);
        }
    }

    /** Guards against a request that waits for its full patience when a partition separates it from the owner. */
    @Test
    void requestAcrossPartitionIsRefusedAsNotRunUntilThePartitionEnds() throws Exception {
        try (TestFleet fleet = new TestFleet(2, 2)) {
            RouterDaemon owner = owner(fleet);
            RouterDaemon other = fleet.routers.get(0) == owner ? fleet.routers.get(1) : fleet.routers.get(0);
            assertEquals(
                    200,
                    fleet.send(fleet.request(other, "/status/1", TestFleet.WORKSPACE_KEY))
                            .statusCode());
            owner.setPartitionedRouters(router -> true);
            other.setPartitionedRouters(router -> true);
            HttpResponse<String> refused = fleet.send(fleet.request(other, "/status/2", TestFleet.WORKSPACE_KEY));
            assertEquals(503, refused.statusCode(), refused.body());
            assertTrue(!TestFleet.errorCode(refused).isEmpty());
            for (RouterDaemon router : fleet.routers) {
                assertEquals(
                        200,
                        fleet.sendModelRequest(router, "own engine", 3, false).statusCode());
            }
            owner.setPartitionedRouters(router -> false);
            other.setPartitionedRouters(router -> false);
            TestFleet.await("requests reach the owner again", () -> {
                try {
                    return fleet.send(fleet.request(other, "/status/3", TestFleet.WORKSPACE_KEY))
                                    .statusCode()
                            == 200;
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
            });
        }
    }

    /** Guards against a store outage that stops the service, or lets a booking run without an idempotency record. */
    @Test
    void storeOutageRefusesBookingsOnly() throws Exception {
        try (TestFleet fleet = new TestFleet(2, 2)) {
            fleet.platform.faults().turn(faults -> faults.withOutage(Outage.UNAVAILABLE));
            HttpResponse<String> booking =
                    fleet.send(fleet.request(fleet.routers.get(0), "/bookings/1", TestFleet.WORKSPACE_KEY)
                            .header("Idempotency-Key", "outage")
                            .POST(HttpRequest.BodyPublishers.noBody()));
            assertEquals("store_unreachable", TestFleet.errorCode(booking));
            assertEquals(0, fleet.application.counters().value("executions"));
            for (RouterDaemon router : fleet.routers) {
                assertEquals(
                        200, fleet.sendModelRequest(router, "outage", 3, false).statusCode());
            }
            fleet.platform.faults().clear();
            TestFleet.await("bookings run again", () -> {
                try {
                    return fleet.send(fleet.request(fleet.routers.get(0), "/bookings/1", TestFleet.WORKSPACE_KEY)
                                            .header("Idempotency-Key", "outage")
                                            .POST(HttpRequest.BodyPublishers.noBody()))
                                    .statusCode()
                            == 200;
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
            });
            assertEquals(1, fleet.application.counters().value("executions"));
        }
    }

    /** Guards against bookings that are refused while a crashed router that batches records remains a member. */
    @Test
    void bookingsSucceedWhileACrashedRouterIsStillAMember() throws Exception {
        try (TestFleet fleet = new TestFleet(2, 2)) {
            RouterDaemon owner = owner(fleet);
            RouterDaemon other = fleet.routers.get(0) == owner ? fleet.routers.get(1) : fleet.routers.get(0);
            other.kill();
            for (int i = 0; i < 16; i++) {
                HttpResponse<String> response =
                        fleet.send(fleet.request(owner, "/bookings/post-9", TestFleet.WORKSPACE_KEY)
                                .header("Idempotency-Key", "after-a-crash-" + i)
                                .POST(HttpRequest.BodyPublishers.noBody()));
                assertEquals(200, response.statusCode(), response.body());
            }
            assertEquals(0, fleet.application.counters().value("repeatedExecutions"));
        }
    }

    private static RouterDaemon owner(TestFleet fleet) {
        return fleet.routers.stream()
                .filter(router -> router.blackboard()
                        .read(OwnerMap.TOPIC)
                        .ownersByService()
                        .get(new ServiceName("app"))
                        .contains(router.id()))
                .findFirst()
                .orElseThrow();
    }
}
