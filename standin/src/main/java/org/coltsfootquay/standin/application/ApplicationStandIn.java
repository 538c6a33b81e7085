package org.coltsfootquay.standin.application;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32;
import org.coltsfootquay.standin.backend.ColdStart;
import org.coltsfootquay.standin.backend.FencingCheck;
import org.coltsfootquay.standin.backend.LoadHistory;
import org.coltsfootquay.standin.fault.Counters;
import org.coltsfootquay.standin.fault.FaultHandler;
import org.coltsfootquay.standin.fault.FaultSwitches;
import org.coltsfootquay.standin.fault.Outage;
import org.coltsfootquay.standin.http.Exchange;
import org.coltsfootquay.standin.http.JsonUtils;
import org.coltsfootquay.standin.http.SharedEventLoops;
import org.coltsfootquay.standin.http.StandInServer;

/**
 * Stand-in for an application server.
 *
 * <p>It executes each request it receives, without any check for repetitions, and counts the executions. The answer
 * names the request, so that a caller can tell that it is its own.
 */
public final class ApplicationStandIn implements AutoCloseable {

    private final ApplicationSettings settings;
    private final EventLoop loop = SharedEventLoops.next();
    private final FaultSwitches faults = new FaultSwitches();
    private final Counters counters = new Counters();
    private final FencingCheck fencing = new FencingCheck();
    private final Executions executions = new Executions();
    private final ColdStart coldStart;
    private final LoadHistory load;
    private final StandInServer server;
    private int inFlight;
    private int incarnation;

    /**
     * Creates an application server.
     *
     * @param settings settings
     */
    public ApplicationStandIn(ApplicationSettings settings) {
        this.settings = settings;
        this.coldStart = new ColdStart(settings.coldMillis(), settings.coldBearable(), settings.coldGrowth(), counters);
        this.load = new LoadHistory(coldStart);
        this.server = new StandInServer(
                loop,
                new FaultHandler(
                        loop,
                        faults,
                        counters,
                        Map.of("coldAgain", this::beginCold, "restart", this::restart),
                        this::handle));
    }

    /**
     * Starts on any free port.
     *
     * @return this stand-in
     */
    public ApplicationStandIn start() {
        return start(0);
    }

    /**
     * Starts on a port of 127.0.0.1.
     *
     * @param port port, or 0 for any free one
     * @return this stand-in
     */
    public ApplicationStandIn start(int port) {
        restart();
        server.start(port);
        return this;
    }

    /**
     * Returns the address.
     *
     * @return {@code host:port}
     */
    public String address() {
        return server.address();
    }

    /**
     * Returns the fault switches.
     *
     * @return switches, usable from any thread
     */
    public FaultSwitches faults() {
        return faults;
    }

    /**
     * Returns the counters.
     *
     * @return counters, usable from any thread
     */
    public Counters counters() {
        return counters;
    }

    /**
     * Returns the executions; they survive restarts, as the effects of an application do.
     *
     * @return executions, usable from any thread
     */
    public Executions executions() {
        return executions;
    }

    /** Makes the server cold; requests in flight go on. */
    public void turnCold() {
        runInLoop(this::beginCold);
    }

    /** Restarts the server: requests in flight are lost and it is cold. */
    public void restart() {
        runInLoop(this::restartInLoop);
        server.breakConnections();
    }

    /** Stops the stand-in. */
    @Override
    public void close() {
        server.close();
        runInLoop(this::stop);
    }

    private void runInLoop(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.submit(task).syncUninterruptibly();
        }
    }

    private void beginCold() {
        coldStart.begin(System.nanoTime());
    }

    private void stop() {
        incarnation++;
        inFlight = 0;
        counters.set("running", 0);
    }

    private void restartInLoop() {
        stop();
        long now = System.nanoTime();
        load.restart(now);
        coldStart.begin(now);
    }

    private void handle(Exchange exchange) {
        if (exchange.path().equals("/v1/load")) {
            long lag = settings.loadLagMillis() + faults.current().lagMillis();
            exchange.answer(200, load.report(System.nanoTime(), lag));
            return;
        }
        counters.increment("requests");
        if (!fencing.accepts(
                exchange.fencingNumber(),
                settings.checksFencing() && !faults.current().ignoreFencing())) {
            counters.increment("fenced");
            exchange.answerError(
                    409, "fenced", "a higher fencing number was seen; read the owner of this server again");
            return;
        }
        long now = System.nanoTime();
        if (!coldStart.bears(inFlight + 1, now)) {
            counters.increment("coldRefused");
            exchange.answerError(503, "cold", "the server has just started; send it fewer requests");
            return;
        }
        if (inFlight + 1 >= settings.collapseAt()) {
            counters.increment("collapses");
            exchange.answerError(500, "overloaded", "too many requests; send fewer");
            return;
        }
        execute(exchange, now);
    }

    private void execute(Exchange exchange, long now) {
        inFlight++;
        counters.raise("peakInFlight", inFlight);
        counters.set("running", inFlight);
        load.note(now, inFlight, 0);
        String key = exchange.header("Idempotency-Key").orElse(null);
        String requestId = exchange.header("X-Request-Id").orElse(null);
        int execution = executions.note(key, requestId);
        counters.increment("executions");
        if (execution > 1) {
            counters.increment("repeatedExecutions");
        }
        int startedIn = incarnation;
        var unused = loop.schedule(
                () -> {
                    if (incarnation == startedIn) {
                        finish(exchange, requestId, execution);
                    }
                },
                serviceNanos(now),
                TimeUnit.NANOSECONDS);
    }

    private long serviceNanos(long now) {
        double millis = settings.serviceMillis() * faults.current().slowFactor();
        if (inFlight > settings.capacity()) {
            millis *= (double) inFlight / settings.capacity();
        }
        if (coldStart.cold(now)) {
            millis *= settings.coldSlowdown();
        }
        return (long) (millis * 1e6);
    }

    private void finish(Exchange exchange, String requestId, int execution) {
        inFlight--;
        counters.set("running", inFlight);
        counters.increment("completed");
        coldStart.completed();
        load.note(System.nanoTime(), inFlight, 0);
        Outage outage = faults.current().outage();
        if (outage == Outage.SILENT) {
            counters.increment("answersLost");
            return;
        }
        if (outage == Outage.BROKEN || faults.losesAnswer()) {
            counters.increment("answersLost");
            exchange.abort();
            return;
        }
        CRC32 checksum = new CRC32();
        checksum.update(exchange.body());
        ObjectNode node = JsonUtils.object()
                .put("method", exchange.method())
                .put("path", exchange.path())
                .put("requestId", requestId)
                .put("execution", execution)
                .put("bodyCrc32", checksum.getValue());
        exchange.answer(200, node);
    }
}
