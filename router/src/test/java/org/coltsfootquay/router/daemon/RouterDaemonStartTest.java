package org.coltsfootquay.router.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

class RouterDaemonStartTest {

    private static final Duration CONTROL_THREAD_DELAY = Duration.ofMillis(300);

    /** Guards against a start that completes while the router still refuses all requests as starting. */
    @Test
    void startedRouterServesTheOperatorInterface() throws Exception {
        PlatformPorts.Factory ports = PlatformPorts.overHttp(Duration.ofSeconds(2), 1);
        try (TestFleet fleet = new TestFleet(1, 1)) {
            RouterDaemon router = fleet.createRouter("router-2", "z2", (address, eventLoops, controlThread) -> {
                controlThread.execute(() -> sleep(CONTROL_THREAD_DELAY));
                return ports.create(address, eventLoops, controlThread);
            });
            fleet.routers.add(router);
            router.start().get(5, TimeUnit.SECONDS);
            HttpResponse<String> response =
                    fleet.send(fleet.request(router, "/v1/operator/configuration", TestFleet.OPERATOR_KEY));
            assertEquals(200, response.statusCode(), response.body());
        }
    }

    private static void sleep(Duration time) {
        long end = System.nanoTime() + time.toNanos();
        while (System.nanoTime() < end) {
            LockSupport.parkNanos(end - System.nanoTime());
        }
    }
}
