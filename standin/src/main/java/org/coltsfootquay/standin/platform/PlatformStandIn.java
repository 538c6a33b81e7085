package org.coltsfootquay.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongSupplier;
import org.coltsfootquay.standin.fault.Counters;
import org.coltsfootquay.standin.fault.FaultHandler;
import org.coltsfootquay.standin.fault.FaultSwitches;
import org.coltsfootquay.standin.http.Exchange;
import org.coltsfootquay.standin.http.JsonUtils;
import org.coltsfootquay.standin.http.SharedEventLoops;
import org.coltsfootquay.standin.http.StandInServer;

/** Stand-in for the platform: table service, object store and VM list on one port. */
public final class PlatformStandIn implements AutoCloseable {

    private static final int MAX_OPERATIONS = 100;
    private static final String OBJECTS = "/v1/objects/";
    private static final String VMS = "/v1/vms";

    private final PlatformSettings settings;
    private final TableData table;
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final VmRegistry vms;
    private final RateLimit writes;
    private final RateLimit reads;
    private final FaultSwitches faults = new FaultSwitches();
    private final Counters counters = new Counters();
    private final EventLoop loop = SharedEventLoops.next();
    private final FaultHandler handler;
    private final StandInServer server;
    private final List<PlatformGate> gates = new CopyOnWriteArrayList<>();

    /** Creates a platform with default settings and the system's clock. */
    public PlatformStandIn() {
        this(PlatformSettings.defaults(), System::nanoTime);
    }

    /**
     * Creates a platform.
     *
     * @param settings settings
     * @param nanoClock clock of the platform in nanoseconds; decides about expiry, lags and rate limits
     */
    public PlatformStandIn(PlatformSettings settings, LongSupplier nanoClock) {
        this.settings = settings;
        this.table = new TableData(nanoClock);
        this.vms = new VmRegistry(nanoClock);
        this.writes = new RateLimit(settings.writesPerSecond(), nanoClock);
        this.reads = new RateLimit(settings.readsPerSecond(), nanoClock);
        this.handler = new FaultHandler(loop, faults, counters, Map.of(), this::handle);
        this.server = new StandInServer(loop, handler);
    }

    /**
     * Starts on any free port.
     *
     * @return this stand-in
     */
    public PlatformStandIn start() {
        return start(0);
    }

    /**
     * Starts on a port of 127.0.0.1.
     *
     * @param port port, or 0 for any free one
     * @return this stand-in
     */
    public PlatformStandIn start(int port) {
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
     * Returns the facts about VMs, for tests and trials that start and stop them.
     *
     * @return registry, usable from any thread
     */
    public VmRegistry vms() {
        return vms;
    }

    /**
     * Returns a row as it stands, past all faults.
     *
     * @param key key
     * @return the row, also when it has expired; empty when it does not exist
     */
    public Optional<StoredRow> row(String key) {
        return Optional.ofNullable(table.row(key));
    }

    /**
     * Returns all rows with a prefix as they stand, past all faults.
     *
     * @param prefix prefix of keys
     * @return rows in order of revision
     */
    public List<StoredRow> rows(String prefix) {
        return table.changes(List.of(prefix), 0);
    }

    /**
     * Opens a further address of this platform with fault switches of its own, so that the platform can be out of reach
     * for some callers only.
     *
     * @return a gate that has started on any free port; closed with this stand-in
     */
    public PlatformGate openGate() {
        PlatformGate gate = new PlatformGate(loop, handler);
        gates.add(gate);
        return gate;
    }

    /** Breaks all connections of callers. */
    public void breakConnections() {
        server.breakConnections();
    }

    /** Stops the stand-in. */
    @Override
    public void close() {
        server.close();
        gates.forEach(PlatformGate::close);
    }

    private void handle(Exchange exchange) {
        String call = exchange.method() + " " + exchange.path();
        boolean write = !exchange.method().equals("GET");
        if (faults.current().throttle() || !(write ? writes : reads).tryTake()) {
            counters.increment("throttled");
            exchange.answerError(429, "throttled", "nothing was done; repeat the call later");
        } else if (call.equals("POST /v1/table/batch")) {
            batch(exchange);
        } else if (call.equals("GET /v1/table/row")) {
            readRow(exchange);
        } else if (call.equals("GET /v1/table/changes")) {
            readChanges(exchange);
        } else if (call.startsWith("PUT " + OBJECTS)) {
            putObject(exchange);
        } else if (call.startsWith("GET " + OBJECTS)) {
            readObject(exchange);
        } else if (call.equals("GET " + VMS)) {
            readVms(exchange);
        } else if (call.startsWith("PUT " + VMS + "/")) {
            putVm(exchange);
        } else {
            exchange.answerError(404, "not_found", "no such call: " + call);
        }
    }

    private void batch(Exchange exchange) {
        counters.increment("batches");
        List<TableOperation> operations = new ArrayList<>();
        boolean atomic;
        try {
            JsonNode json = exchange.json();
            atomic = readMode(json);
            for (JsonNode operation : json.path("operations")) {
                operations.add(TableOperation.read(operation));
            }
            checkOperations(atomic, operations);
        } catch (IllegalArgumentException | IOException e) {
            exchange.answerError(400, "bad_request", e.getMessage());
            return;
        }
        counters.add("operations", operations.size());
        TableData.BatchResult result = table.write(atomic, operations);
        if (faults.losesAnswer()) {
            counters.increment("answersLost");
            exchange.abort();
            return;
        }
        ObjectNode node = JsonUtils.object();
        ArrayNode results = node.putArray("results");
        long now = table.nowNanos();
        for (TableData.Result each : result.results()) {
            ObjectNode entry =
                    results.addObject().put("applied", each.applied()).put("revision", result.revision());
            entry.set("current", each.current() == null ? null : each.current().toJson(now));
        }
        exchange.answer(200, node.put("revision", result.revision()));
    }

    private static boolean readMode(JsonNode json) {
        String mode = json.path("mode").asText();
        if (!mode.equals("atomic") && !mode.equals("independent")) {
            throw new IllegalArgumentException("mode must be atomic or independent");
        }
        return mode.equals("atomic");
    }

    private static void checkOperations(boolean atomic, List<TableOperation> operations) {
        if (operations.isEmpty() || operations.size() > MAX_OPERATIONS) {
            throw new IllegalArgumentException("operations must have 1 to " + MAX_OPERATIONS + " entries");
        }
        Set<String> keys = new HashSet<>();
        for (TableOperation operation : operations) {
            if (!keys.add(operation.key()) && atomic) {
                throw new IllegalArgumentException("an atomic batch must name each key once: " + operation.key());
            }
        }
    }

    private void readRow(Exchange exchange) {
        counters.increment("rowReads");
        List<String> keys = exchange.parameters("key");
        StoredRow row = keys.isEmpty() ? null : table.row(keys.get(0));
        if (row == null) {
            exchange.answerError(404, "not_found", "the row does not exist");
        } else {
            exchange.answer(200, row.toJson(table.nowNanos()));
        }
    }

    private void readChanges(Exchange exchange) {
        counters.increment("changesReads");
        ObjectNode node = JsonUtils.object();
        ArrayNode rows = node.putArray("rows");
        long now = table.nowNanos();
        long revision = table.revision();
        for (StoredRow row : table.changes(exchange.parameters("prefix"), exchange.number("since", 0))) {
            rows.add(row.toJson(now));
        }
        exchange.answer(200, node.put("revision", revision));
    }

    private void putObject(Exchange exchange) {
        counters.increment("objectWrites");
        byte[] content = exchange.body();
        byte[] old = objects.putIfAbsent(exchange.path().substring(OBJECTS.length()), content);
        if (faults.losesAnswer()) {
            counters.increment("answersLost");
            exchange.abort();
        } else if (old == null || Arrays.equals(old, content)) {
            exchange.answerEmpty(204);
        } else {
            exchange.answerError(409, "exists", "the object exists with another content; choose another name");
        }
    }

    private void readObject(Exchange exchange) {
        counters.increment("objectReads");
        byte[] content = objects.get(exchange.path().substring(OBJECTS.length()));
        if (content == null) {
            exchange.answerError(404, "not_found", "the object does not exist");
        } else {
            exchange.answer(200, "application/octet-stream", content);
        }
    }

    private void readVms(Exchange exchange) {
        counters.increment("vmListReads");
        ObjectNode node = JsonUtils.object();
        ArrayNode list = node.putArray("vms");
        long lag = settings.vmListLagMillis() + faults.current().lagMillis();
        for (VmRecord vm : vms.published(lag)) {
            list.addObject()
                    .put("name", vm.name())
                    .put("zone", vm.zone())
                    .put("address", vm.address())
                    .put("state", vm.state().name().toLowerCase(Locale.ROOT))
                    .put("startedAtEpochMillis", vm.startedAtEpochMillis());
        }
        exchange.answer(200, node);
    }

    private void putVm(Exchange exchange) {
        try {
            JsonNode json = exchange.json();
            vms.put(new VmRecord(
                    exchange.path().substring(VMS.length() + 1),
                    json.path("zone").asText(),
                    json.path("address").asText(),
                    VmRecord.State.valueOf(json.path("state").asText("running").toUpperCase(Locale.ROOT)),
                    json.path("startedAtEpochMillis").asLong()));
            exchange.answerEmpty(204);
        } catch (IllegalArgumentException | IOException e) {
            exchange.answerError(400, "bad_request", e.getMessage());
        }
    }
}
