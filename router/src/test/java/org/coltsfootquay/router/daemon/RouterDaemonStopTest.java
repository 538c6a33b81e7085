package org.coltsfootquay.router.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.Comparator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.ownership.OwnedServers;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.standin.engine.ExpectedAnswer;
import org.junit.jupiter.api.Test;

class RouterDaemonStopTest {

    /** Guards against a graceful shutdown that interrupts a stream, or leaves servers without an owner. */
    @Test
    void gracefulShutdownCompletesStreamsAndHandsServersOver() throws Exception {
        try (TestFleet fleet = new TestFleet(2, 2)) {
            RouterDaemon stopping = fleet.routers.get(0);
            RouterDaemon other = fleet.routers.get(1);
            CompletableFuture<HttpResponse<String>> stream = fleet.httpClient.sendAsync(
                    fleet.modelRequest(stopping, "during the stop", 600, true).build(),
                    HttpResponse.BodyHandlers.ofString());
            TestFleet.await(
                    "the stream is in progress",
                    () -> stopping.metrics().toJson().contains("\"requests_in_progress\":1.0"));
            CompletableFuture<Void> stopped = stopping.stop();
            TestFleet.await(
                    "the other router owns all servers",
                    () -> other.blackboard().read(OwnedServers.TOPIC).servers().size() == 3);
            TestFleet.await("the address list no longer contains the stopping router", () -> {
                try {
                    return !fleet.send(fleet.request(other, "/v1/addresses", "none"))
                            .body()
                            .contains(stopping.callerAddress());
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
            });
            HttpResponse<String> response = stream.get(20, TimeUnit.SECONDS);
            assertEquals(ExpectedAnswer.of("during the stop").text(600), TestFleet.joinTokens(response.body()));
            assertTrue(response.body().endsWith("data: [DONE]\n\n"));
            stopped.get(20, TimeUnit.SECONDS);
            assertFalse(stopping.timeline().read(0, 100_000).stream()
                    .anyMatch(entry -> entry.event().kind() == EventKind.INVARIANT_VIOLATED));
            assertEquals(
                    200,
                    fleet.sendModelRequest(other, "after the stop", 5, false).statusCode());
        }
    }

    /** Guards against requests that wait forever for an owner that crashed. */
    @Test
    void requestsSucceedAfterAnOwnerCrashed() throws Exception {
        try (TestFleet fleet = new TestFleet(2, 2)) {
            // The last router to join crashes. The survivor would claim the servers of a router that joined earlier
            // only after 13 s, when it knows that the crashed router has read its join.
            RouterDaemon crashed = lastJoined(fleet);
            RouterDaemon other = fleet.routers.get(0) == crashed ? fleet.routers.get(1) : fleet.routers.get(0);
            crashed.kill();
            for (int i = 0; i < 5; i++) {
                HttpResponse<String> response = fleet.sendModelRequest(other, "after the crash " + i, 5, false);
                assertEquals(200, response.statusCode(), response.body());
            }
            TestFleet.await(
                    "the servers of the crashed router are claimed",
                    () -> other.blackboard().read(OwnedServers.TOPIC).servers().size() == 3);
        }
    }

    private static RouterDaemon lastJoined(TestFleet fleet) {
        return fleet.routers.stream()
                .max(Comparator.comparingLong(router -> router.blackboard()
                        .read(MembershipView.TOPIC)
                        .members()
                        .get(router.id())
                        .joinRevision()))
                .orElseThrow();
    }
}
