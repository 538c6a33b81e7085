package org.coltsfootquay.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import org.coltsfootquay.standin.backend.FencingCheck;
import org.coltsfootquay.standin.fault.Counters;
import org.coltsfootquay.standin.fault.FaultHandler;
import org.coltsfootquay.standin.fault.FaultSwitches;
import org.coltsfootquay.standin.http.Exchange;
import org.coltsfootquay.standin.http.JsonUtils;
import org.coltsfootquay.standin.http.SharedEventLoops;
import org.coltsfootquay.standin.http.StandInServer;

/** Stand-in for a model engine; {@link ExpectedAnswer} tells what it answers. */
public final class EngineStandIn implements AutoCloseable {

    private static final int DEFAULT_TOKENS = 16;
    private static final String REQUESTS = "/v1/requests/";
    private static final String KV = "/v1/kv/";
    private static final Set<String> ORDERS = Set.of("load_model", "load_adapter", "set_version", "set_role");

    private final EngineSettings settings;
    private final EventLoop loop = SharedEventLoops.next();
    private final FaultSwitches faults = new FaultSwitches();
    private final Counters counters = new Counters();
    private final FencingCheck fencing = new FencingCheck();
    private final List<Order> orders = new CopyOnWriteArrayList<>();
    private final EngineCore core;
    private final StandInServer server;

    /**
     * An order that the engine carried out.
     *
     * @param type type of the order
     * @param name name of the model, adapter, version or role
     */
    public record Order(String type, String name) {}

    /**
     * Creates an engine.
     *
     * @param settings settings
     */
    public EngineStandIn(EngineSettings settings) {
        this.settings = settings;
        this.core = new EngineCore(settings, loop, faults, counters);
        this.server = new StandInServer(
                loop,
                new FaultHandler(
                        loop,
                        faults,
                        counters,
                        Map.of("coldAgain", core::turnCold, "restart", core::restart),
                        this::handle));
    }

    /**
     * Starts on any free port.
     *
     * @return this stand-in
     */
    public EngineStandIn start() {
        return start(0);
    }

    /**
     * Starts on a port of 127.0.0.1; a stand-in that was closed starts with no memory.
     *
     * @param port port, or 0 for any free one
     * @return this stand-in
     */
    public EngineStandIn start(int port) {
        loop.submit(core::restart).syncUninterruptibly();
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
     * Returns the orders that were carried out.
     *
     * @return orders, the oldest first
     */
    public List<Order> orders() {
        return List.copyOf(orders);
    }

    /** Makes the engine cold; requests in flight go on, slowly. */
    public void turnCold() {
        loop.submit(core::turnCold).syncUninterruptibly();
    }

    /** Restarts the engine with no memory: it breaks all streams, loses its cache and is cold. */
    public void restart() {
        loop.submit(core::restart).syncUninterruptibly();
    }

    /** Breaks all connections; the engine goes on with the streams until it holds them no longer. */
    public void breakConnections() {
        server.breakConnections();
    }

    /** Stops the stand-in. */
    @Override
    public void close() {
        server.close();
        loop.submit(core::stop).syncUninterruptibly();
    }

    private void handle(Exchange exchange) {
        String call = exchange.method() + " " + exchange.path();
        if (call.equals("POST /v1/chat/completions")) {
            complete(exchange);
        } else if (call.startsWith("DELETE " + REQUESTS)) {
            core.stream(exchange.path().substring(REQUESTS.length())).ifPresent(core::cancel);
            exchange.answerEmpty(204);
        } else if (call.startsWith("GET " + REQUESTS) && call.endsWith("/stream")) {
            resume(exchange);
        } else if (call.equals("GET /v1/load")) {
            long lag = settings.loadLagMillis() + faults.current().lagMillis();
            exchange.answer(200, core.load().report(System.nanoTime(), lag));
        } else if (call.equals("GET /v1/cache/events")) {
            long lag = settings.cacheEventLagMillis() + faults.current().lagMillis();
            long until = System.nanoTime() - lag * 1_000_000;
            exchange.answer(200, core.cache().events(exchange.number("since", 0), until));
        } else if (call.startsWith("GET " + KV)) {
            exportCache(exchange);
        } else if (call.startsWith("PUT " + KV)) {
            importCache(exchange);
        } else if (call.equals("POST /v1/orders")) {
            order(exchange);
        } else {
            exchange.answerError(404, "not_found", "no such call: " + call);
        }
    }

    private void complete(Exchange exchange) {
        JsonNode request;
        try {
            request = exchange.json();
        } catch (IOException e) {
            exchange.answerError(400, "bad_json", e.getMessage());
            return;
        }
        if (!request.path("messages").isArray()
                || request.path("messages").isEmpty()
                || request.path("max_tokens").asInt(1) < 1) {
            exchange.answerError(400, "bad_request", "send at least one message and max_tokens of at least 1");
            return;
        }
        if (fenced(exchange, exchange.fencingNumber())) {
            return;
        }
        String id = exchange.header("X-Request-Id")
                .orElseGet(() -> UUID.randomUUID().toString());
        EngineStream stream = new EngineStream(id, request, PromptUtils.bytes(request), DEFAULT_TOKENS);
        checkContinuation(request, stream);
        switch (core.admit(stream)) {
            case COLD -> exchange.answerError(503, "cold", "the engine has just started; send it fewer requests");
            case DUPLICATE -> exchange.answerError(400, "duplicate", "X-Request-Id is in use; send another one");
            case FAILED -> exchange.answerError(500, "overloaded", "the engine ran out of memory");
            default -> {
                stream.attach(exchange);
                exchange.onClose(() -> {
                    if (stream.isCaller(exchange)) {
                        core.callerLeft(stream);
                    }
                });
            }
        }
    }

    private void checkContinuation(JsonNode request, EngineStream stream) {
        int position = 0;
        for (JsonNode token : request.path("continue_from")) {
            if (!stream.answer().token(position++).equals(token.asText())) {
                counters.increment("continuationMismatches");
                return;
            }
        }
    }

    private void resume(Exchange exchange) {
        String path = exchange.path();
        String id = path.substring(REQUESTS.length(), path.length() - "/stream".length());
        long from = exchange.number("from", 0);
        Optional<EngineStream> found =
                core.stream(id).filter(stream -> from >= stream.firstPosition() && from <= stream.position());
        if (found.isEmpty()) {
            exchange.answerError(404, "not_found", "the engine does not hold this stream at this position");
            return;
        }
        counters.increment("resumed");
        EngineStream stream = found.get();
        stream.resume(exchange, (int) from);
        exchange.onClose(() -> {
            if (stream.isCaller(exchange)) {
                core.callerLeft(stream);
            }
        });
    }

    private void exportCache(Exchange exchange) {
        Optional<EngineStream> found = core.stream(exchange.path().substring(KV.length()));
        if (found.isEmpty()) {
            exchange.answerError(404, "not_found", "the engine does not hold this request");
            return;
        }
        counters.increment("cacheExports");
        ObjectNode node = JsonUtils.object();
        for (long hash : found.get().prefixHashes()) {
            node.withArray("prefixHashes").add(String.format("%016x", hash));
        }
        exchange.answer(200, node.put("position", found.get().position()));
    }

    private void importCache(Exchange exchange) {
        try {
            JsonNode hashes = exchange.json().path("prefixHashes");
            long[] values = new long[hashes.size()];
            for (int i = 0; i < values.length; i++) {
                values[i] = Long.parseUnsignedLong(hashes.get(i).asText(), 16);
            }
            counters.increment("cacheImports");
            core.cache().store(values, System.nanoTime());
            exchange.answerEmpty(204);
        } catch (NumberFormatException | IOException e) {
            exchange.answerError(400, "bad_request", "send what GET /v1/kv answered; " + e.getMessage());
        }
    }

    private void order(Exchange exchange) {
        try {
            JsonNode json = exchange.json();
            String type = json.path("type").asText();
            if (!ORDERS.contains(type)) {
                exchange.answerError(400, "bad_request", "type must be one of " + ORDERS);
                return;
            }
            JsonNode number = json.path("fencingNumber");
            if (fenced(exchange, number.isNumber() ? OptionalLong.of(number.asLong()) : OptionalLong.empty())) {
                return;
            }
            orders.add(new Order(type, json.path("name").asText()));
            counters.increment("orders");
            if (type.equals("load_model") || type.equals("set_version")) {
                core.turnCold();
            }
            exchange.answerEmpty(204);
        } catch (IOException e) {
            exchange.answerError(400, "bad_json", e.getMessage());
        }
    }

    private boolean fenced(Exchange exchange, OptionalLong number) {
        boolean enforced = settings.checksFencing() && !faults.current().ignoreFencing();
        if (fencing.accepts(number, enforced)) {
            return false;
        }
        counters.increment("fenced");
        exchange.answerError(409, "fenced", "a higher fencing number was seen; read the owner of this server again");
        return true;
    }
}
