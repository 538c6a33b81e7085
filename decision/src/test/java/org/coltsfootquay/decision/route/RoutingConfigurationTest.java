package org.coltsfootquay.decision.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.junit.jupiter.api.Test;

/** Guards against requests on the wrong route, with a revoked key, or refused although they are allowed. */
final class RoutingConfigurationTest {

    private static final CallerLimits LIMITS =
            new CallerLimits(1024, 1024, Duration.ofSeconds(1), Duration.ofSeconds(1));
    private static final WorkspaceId RETROFIT = new WorkspaceId("retrofit");

    @Test
    void longestPrefixWins() {
        Access access = configuration(true, route("short", "/a/", false), route("long", "/a/b/", false))
                .authorize("host", "/a/b/c", "key");
        assertEquals("long", ((Access.Allowed) access).route().name());
    }

    @Test
    void prefixMatchesWholeSegmentsOnly() {
        Access access = configuration(true, route("r", "/a/", false)).authorize("host", "/ab/c", "key");
        assertEquals(new Access.Denied(Access.Reason.UNKNOWN_ROUTE), access);
    }

    @Test
    void otherHostHasNoRoute() {
        Access access = configuration(true, route("r", "/a/", false)).authorize("other", "/a/c", "key");
        assertEquals(new Access.Denied(Access.Reason.UNKNOWN_ROUTE), access);
    }

    @Test
    void keyNamesItsWorkspace() {
        Access access = configuration(true, route("r", "/a/", false)).authorize("host", "/a/c", "key");
        assertEquals(RETROFIT, ((Access.Allowed) access).workspace().orElseThrow());
    }

    @Test
    void unknownKeyIsDenied() {
        Access access = configuration(true, route("r", "/a/", false)).authorize("host", "/a/c", "revoked");
        assertEquals(new Access.Denied(Access.Reason.UNKNOWN_KEY), access);
    }

    @Test
    void missingKeyIsDenied() {
        Access access = configuration(true, route("r", "/a/", false)).authorize("host", "/a/c", null);
        assertEquals(new Access.Denied(Access.Reason.UNKNOWN_KEY), access);
    }

    @Test
    void openRouteNeedsNoKey() {
        assertInstanceOf(
                Access.Allowed.class,
                configuration(true, route("r", "/a/", true)).authorize("host", "/a/c", null));
    }

    @Test
    void withoutWorkspacesNoKeyIsNeeded() {
        assertInstanceOf(
                Access.Allowed.class,
                configuration(false, route("r", "/a/", false)).authorize("host", "/a/c", null));
    }

    @Test
    void serviceWithoutWeightIsNeverPicked() {
        Route split = new Route(
                "r",
                "host",
                "/a/",
                RouteKind.IDEMPOTENT,
                List.of(new WeightedService(new ServiceName("old"), 0), new WeightedService(new ServiceName("new"), 5)),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                1,
                false,
                false,
                false);
        for (long hash = -50; hash < 50; hash++) {
            assertEquals(new ServiceName("new"), split.serviceFor(hash));
        }
    }

    private static RoutingConfiguration configuration(boolean keysRequired, Route... routes) {
        return new RoutingConfiguration(1, List.of(routes), List.of(), Map.of("key", RETROFIT), keysRequired, LIMITS);
    }

    private static Route route(String name, String prefix, boolean open) {
        return new Route(
                name,
                "host",
                prefix,
                RouteKind.IDEMPOTENT,
                List.of(new WeightedService(new ServiceName("service"), 1)),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                1,
                open,
                false,
                false);
    }
}
