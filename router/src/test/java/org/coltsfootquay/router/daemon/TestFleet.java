package org.coltsfootquay.router.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.configuration.ConfigurationTopic;
import org.coltsfootquay.decision.ownership.OwnerMap;
import org.coltsfootquay.router.backend.SseParser;
import org.coltsfootquay.router.backend.StreamEventParser;
import org.coltsfootquay.router.settings.KeyDigestUtils;
import org.coltsfootquay.router.settings.RouterSettings;
import org.coltsfootquay.standin.application.ApplicationSettings;
import org.coltsfootquay.standin.application.ApplicationStandIn;
import org.coltsfootquay.standin.engine.EngineSettings;
import org.coltsfootquay.standin.engine.EngineStandIn;
import org.coltsfootquay.standin.platform.PlatformStandIn;

/** Routers with stand-ins for the engines, the application server and the platform, in one process on free ports. */
final class TestFleet implements AutoCloseable {

    static final String OPERATOR_KEY = "operator key";
    static final String WORKSPACE_KEY = "key of workspace one";

    final PlatformStandIn platform = new PlatformStandIn().start();
    final List<EngineStandIn> engines = new ArrayList<>();
    final ApplicationStandIn application = new ApplicationStandIn(ApplicationSettings.fast()).start();
    final List<RouterDaemon> routers = new ArrayList<>();
    final HttpClient httpClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final String applicationAddress;

    TestFleet(int routerCount, int engineCount) throws Exception {
        this(routerCount, engineCount, "");
    }

    /** Starts a fleet that uses the application server at an address, or the stand-in if the address is empty. */
    TestFleet(int routerCount, int engineCount, String applicationServerAddress) throws Exception {
        applicationAddress = applicationServerAddress.isEmpty() ? application.address() : applicationServerAddress;
        for (int i = 0; i < engineCount; i++) {
            engines.add(new EngineStandIn(EngineSettings.fast()).start());
        }
        for (int i = 0; i < routerCount; i++) {
            routers.add(createRouter("router-" + (i + 1), i == 0 ? "z1" : "z2"));
        }
        for (RouterDaemon router : routers) {
            router.start().get(5, TimeUnit.SECONDS);
        }
        submitConfiguration();
        for (RouterDaemon router : routers) {
            router.ready().get(20, TimeUnit.SECONDS);
        }
        await(
                "all servers have owners",
                () -> routers.stream()
                        .allMatch(router -> router.blackboard()
                                        .read(OwnerMap.TOPIC)
                                        .owners()
                                        .size()
                                == engineCount + 1));
    }

    RouterDaemon createRouter(String name, String zone) {
        return createRouter(name, zone, PlatformPorts.overHttp(Duration.ofSeconds(2), 1));
    }

    RouterDaemon createRouter(String name, String zone, PlatformPorts.Factory ports) {
        RouterSettings settings = new RouterSettings(
                new RouterId(name),
                new ZoneName(zone),
                new RegionName("r"),
                "127.0.0.1:0",
                "127.0.0.1:0",
                platform.address(),
                "fleet key of the test",
                List.of(KeyDigestUtils.digest(OPERATOR_KEY)),
                new RouterSettings.Timing(
                        Duration.ofSeconds(9),
                        Duration.ofSeconds(3),
                        Duration.ofMillis(500),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(2),
                        Duration.ofMillis(250),
                        Duration.ofMillis(200)),
                RouterSettings.Limits.DEFAULT);
        return new RouterDaemon(settings, RouterOptions.defaults(ports));
    }

    HttpResponse<String> sendModelRequest(RouterDaemon router, String content, int tokens, boolean stream)
            throws Exception {
        return httpClient.send(
                modelRequest(router, content, tokens, stream).build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpRequest.Builder modelRequest(RouterDaemon router, String content, int tokens, boolean stream) {
        String body = "{\"model\":\"lm\",\"max_tokens\":" + tokens + ",\"stream\":" + stream
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + content + "\"}]}";
        return request(router, "/v1/chat/completions", WORKSPACE_KEY).POST(HttpRequest.BodyPublishers.ofString(body));
    }

    HttpRequest.Builder request(RouterDaemon router, String path, String key) {
        return HttpRequest.newBuilder(URI.create("http://" + router.callerAddress() + path))
                .timeout(Duration.ofSeconds(30))
                .header("Authorization", "Bearer " + key);
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return httpClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the concatenated tokens of an event stream. */
    static String joinTokens(String events) {
        StringBuilder text = new StringBuilder();
        SseParser parser =
                new SseParser(data -> StreamEventParser.parse(data).ifPresent(event -> text.append(event.content())));
        parser.feed(events.getBytes(StandardCharsets.UTF_8));
        return text.toString();
    }

    /** Returns the error code of a refusal and checks that it states that the request did not run. */
    static String errorCode(HttpResponse<String> response) throws IOException {
        JsonNode error = new ObjectMapper().readTree(response.body()).path("error");
        assertEquals("not_run", error.path("execution").asText(), response.body());
        assertFalse(error.path("remedy").asText().isEmpty(), response.body());
        return error.path("code").asText();
    }

    static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("condition not met within 20 s: " + description);
            }
            Thread.sleep(10);
        }
    }

    private void submitConfiguration() throws Exception {
        StringBuilder servers = new StringBuilder();
        for (int i = 0; i < engines.size(); i++) {
            servers.append("{\"name\":\"engine-" + (i + 1) + "\",\"service\":\"lm\",\"zone\":\"z" + (i % 2 + 1)
                    + "\",\"address\":\"" + engines.get(i).address() + "\",\"checksFencing\":false},");
        }
        String json =
                """
                {"zones": [{"name": "z1", "region": "r"}, {"name": "z2", "region": "r"}],
                 "services": [{"name": "lm", "kind": "model"}, {"name": "app", "kind": "application"}],
                 "servers": [%s
                   {"name": "app-1", "service": "app", "zone": "z1", "address": "%s", "checksFencing": false}],
                 "classes": [
                   {"name": "chat", "service": "lm", "target": {"firstTokenWithin": "1s", "betweenTokens": "57ms"},
                    "patience": "10s", "idempotent": true, "default": true},
                   {"name": "booking", "service": "app", "target": {"finishedWithin": "2s"}, "patience": "5s",
                    "idempotent": false, "routes": [{"method": "POST", "pathPrefix": "/bookings"}]},
                   {"name": "status", "service": "app", "target": {"finishedWithin": "2s"}, "patience": "5s",
                    "idempotent": true, "routes": [{"method": "GET", "pathPrefix": "/status"}],
                    "default": true}],
                 "workspaces": [{"id": "one", "keys": ["%s"]}]}
                """.formatted(servers, applicationAddress, KeyDigestUtils.format(KeyDigestUtils.digest(WORKSPACE_KEY)));
        HttpResponse<String> response = send(request(routers.get(0), "/v1/operator/configuration", OPERATOR_KEY)
                .header("If-Match", "\"0\"")
                .PUT(HttpRequest.BodyPublishers.ofString(json)));
        if (response.statusCode() != 200) {
            throw new AssertionError(response.body());
        }
        await(
                "all routers have a configuration in force",
                () -> routers.stream()
                        .allMatch(router -> router.blackboard()
                                        .read(ConfigurationTopic.IN_FORCE)
                                        .version()
                                > 0));
    }

    @Override
    public void close() {
        routers.forEach(RouterDaemon::kill);
        engines.forEach(EngineStandIn::close);
        application.close();
        platform.close();
    }
}
