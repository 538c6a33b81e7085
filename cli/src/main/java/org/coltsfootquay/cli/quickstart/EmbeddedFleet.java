package org.coltsfootquay.cli.quickstart;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.coltsfootquay.cli.CommandException;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.dispatch.PolicyName;
import org.coltsfootquay.router.daemon.PlatformPorts;
import org.coltsfootquay.router.daemon.RouterDaemon;
import org.coltsfootquay.router.daemon.RouterOptions;
import org.coltsfootquay.router.settings.FleetConfigurationWriter;
import org.coltsfootquay.router.settings.KeyDigestUtils;
import org.coltsfootquay.router.settings.RouterSettings;
import org.coltsfootquay.standin.application.ApplicationSettings;
import org.coltsfootquay.standin.application.ApplicationStandIn;
import org.coltsfootquay.standin.engine.EngineSettings;
import org.coltsfootquay.standin.engine.EngineStandIn;
import org.coltsfootquay.standin.platform.PlatformStandIn;

/** Routers and stand-ins of the quickstart in this process, on loopback with real sockets. */
final class EmbeddedFleet implements AutoCloseable {

    /** Streams up to which an engine stand-in keeps its token interval; utilisation is measured against it. */
    static final int ENGINE_KNEE = 8;

    private static final String OPERATOR_KEY = "quickstart-operator-key";
    private static final Duration START_LIMIT = Duration.ofSeconds(15);

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private final PlatformStandIn platform = new PlatformStandIn().start();
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final List<ApplicationStandIn> applications = new ArrayList<>();
    private final List<RouterDaemon> routers = new ArrayList<>();

    static EngineSettings engineSettings(boolean checksFencing) {
        return new EngineSettings(
                ENGINE_KNEE,
                14,
                60,
                2_000,
                10,
                0.05,
                200_000,
                10,
                512,
                100,
                50,
                200,
                0,
                2,
                1,
                3,
                false,
                5_000,
                checksFencing);
    }

    /** Starts everything and waits until all routers are ready. */
    void start(PolicyName policy) throws CommandException, InterruptedException {
        for (int i = 0; i < FleetLayout.ENGINES; i++) {
            engines.add(new EngineStandIn(engineSettings(FleetLayout.checksFencing(i))).start());
        }
        for (int i = 0; i < FleetLayout.APPLICATION_SERVERS; i++) {
            applications.add(
                    new ApplicationStandIn(ApplicationSettings.fast().withChecksFencing(FleetLayout.checksFencing(i)))
                            .start());
        }
        for (int i = 0; i < FleetLayout.ROUTERS; i++) {
            RouterDaemon router = new RouterDaemon(
                    routerSettings(i),
                    new RouterOptions(
                            policy,
                            1,
                            20_000,
                            PlatformPorts.overHttp(RouterSettings.Timing.DEFAULT.platformTimeout(), i),
                            entry -> {}));
            routers.add(router);
            await(router.start(), "start of router " + (i + 1));
        }
        String configuration = FleetConfigurationWriter.write(FleetLayout.configuration(
                engines.stream().map(EngineStandIn::address).toList(),
                applications.stream().map(ApplicationStandIn::address).toList()));
        putConfiguration(configuration);
        for (RouterDaemon router : routers) {
            await(router.ready(), "readiness of a router");
        }
    }

    List<RouterDaemon> routers() {
        return routers;
    }

    List<EngineStandIn> engines() {
        return engines;
    }

    List<ApplicationStandIn> applications() {
        return applications;
    }

    List<String> callerAddresses() {
        return routers.stream().map(RouterDaemon::callerAddress).toList();
    }

    /** Sends an operator call to the first router and returns the body of a successful answer. */
    String operator(String method, String path) throws CommandException, InterruptedException {
        return send(request(routers.get(0).callerAddress(), path).method(method, HttpRequest.BodyPublishers.noBody()));
    }

    /** Reads the metrics of each router as JSON. */
    List<String> metrics() throws CommandException, InterruptedException {
        List<String> metrics = new ArrayList<>();
        for (String address : callerAddresses()) {
            metrics.add(send(request(address, "/metrics.json").GET()));
        }
        return metrics;
    }

    @Override
    public void close() {
        routers.forEach(RouterDaemon::kill);
        engines.forEach(EngineStandIn::close);
        applications.forEach(ApplicationStandIn::close);
        platform.close();
    }

    private RouterSettings routerSettings(int index) {
        return new RouterSettings(
                new RouterId("router-" + (index + 1)),
                FleetLayout.zoneOf(index),
                FleetLayout.REGION,
                "127.0.0.1:0",
                "127.0.0.1:0",
                platform.address(),
                "quickstart-fleet-key",
                List.of(KeyDigestUtils.digest(OPERATOR_KEY)),
                RouterSettings.Timing.DEFAULT,
                RouterSettings.Limits.DEFAULT);
    }

    private void putConfiguration(String configuration) throws CommandException, InterruptedException {
        long deadline = System.nanoTime() + START_LIMIT.toNanos();
        while (true) {
            try {
                send(request(routers.get(0).callerAddress(), "/v1/operator/configuration")
                        .header("If-Match", "\"0\"")
                        .PUT(HttpRequest.BodyPublishers.ofString(configuration)));
                return;
            } catch (CommandException e) {
                if (System.nanoTime() > deadline) {
                    throw e;
                }
                TimeUnit.MILLISECONDS.sleep(200);
            }
        }
    }

    private static HttpRequest.Builder request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofSeconds(5))
                .header("Authorization", "Bearer " + OPERATOR_KEY);
    }

    private String send(HttpRequest.Builder request) throws CommandException, InterruptedException {
        try {
            HttpResponse<String> response = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() / 100 != 2) {
                throw new CommandException("operator call refused: " + response.body());
            }
            return response.body();
        } catch (IOException e) {
            throw new CommandException("operator call failed: " + e + "; see the log of the router", e);
        }
    }

    private static void await(CompletableFuture<Void> future, String what)
            throws CommandException, InterruptedException {
        try {
            future.get(START_LIMIT.toSeconds(), TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new CommandException(what + " failed: " + e + "; see the log lines above", e);
        }
    }
}
