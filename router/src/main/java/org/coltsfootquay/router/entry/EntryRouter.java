package org.coltsfootquay.router.entry;

import io.vavr.control.Either;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.Workspace;
import org.coltsfootquay.decision.request.CallerRequest;
import org.coltsfootquay.decision.request.ErrorCode;
import org.coltsfootquay.decision.request.RequestAction;
import org.coltsfootquay.decision.request.RequestEvent;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.protocol.generated.Progress;
import org.coltsfootquay.protocol.generated.ProgressBatch;
import org.coltsfootquay.router.http.BearerKeys;
import org.coltsfootquay.router.http.ErrorBody;
import org.coltsfootquay.router.http.HttpExchange;
import org.coltsfootquay.router.http.HttpRequestHandler;

/** Entry side of a router: admits callers' requests and runs their flows; thread-safe. */
public final class EntryRouter implements HttpRequestHandler {

    /** At about 60 bytes per entry, a batch stays far below the maximum frame size. */
    private static final int MAX_PROGRESS_ENTRIES = 500;

    private final EntryContext context;
    private final int maxRequests;
    private final String requestPrefix;
    private final Supplier<Optional<String>> notReadyReason;
    private final OutputEstimator outputEstimator = new OutputEstimator();
    private final RequestParser parser = new RequestParser(outputEstimator);
    private final Map<RequestId, FlowRunner> flows = new ConcurrentHashMap<>();
    private final Map<RouterId, List<Progress>> pendingProgress = new HashMap<>();
    private final AtomicLong nextRequest = new AtomicLong();
    private volatile VersionedKeys keys = new VersionedKeys(-1, new BearerKeys<>(Map.of()));

    private record VersionedKeys(long version, BearerKeys<Workspace> keys) {}

    /**
     * Creates an entry router.
     *
     * @param context dependencies of the flows
     * @param start number that differs between starts of this router; part of request identifiers
     * @param maxRequests maximum number of requests in progress
     * @param notReadyReason supplies the reason why no request can be admitted, empty if requests can be admitted
     */
    public EntryRouter(EntryContext context, long start, int maxRequests, Supplier<Optional<String>> notReadyReason) {
        this.context = context;
        // The random part keeps identifiers unique if the clock of a VM steps back between two starts. Idempotency
        // records refer to the attempt that may send by its identifier.
        String random = Integer.toString(new SecureRandom().nextInt() >>> 1, Character.MAX_RADIX);
        this.requestPrefix = context.environment().self() + "-" + Long.toString(start, 36) + "-" + random + "-";
        this.maxRequests = maxRequests;
        this.notReadyReason = notReadyReason;
    }

    @Override
    public void handle(HttpExchange exchange) {
        FleetConfiguration configuration = context.environment().configuration();
        Optional<String> reason = notReadyReason.get();
        if (reason.isPresent()) {
            refuse(exchange, ErrorCode.ROUTER_STOPPING, "the router is not ready: " + reason.get());
            return;
        }
        Optional<Workspace> workspace = keys(configuration).findHolder(exchange.header("authorization"));
        if (workspace.isEmpty()) {
            refuse(exchange, ErrorCode.UNAUTHORIZED, "the key is missing or belongs to no workspace");
            return;
        }
        if (flows.size() >= maxRequests) {
            refuse(
                    exchange,
                    ErrorCode.NO_CAPACITY,
                    "the router has reached its limit of " + maxRequests + " requests in progress");
            return;
        }
        Either<ErrorBody, RequestParser.ParsedRequest> parsed =
                parser.parse(exchange, workspace.get(), configuration, nextRequestId());
        if (parsed.isLeft()) {
            context.metrics()
                    .count("requests_total{outcome=\"" + parsed.getLeft().code() + "\",execution=\"not_run\"}");
            parsed.getLeft().send(exchange);
            return;
        }
        FlowRunner runner = new FlowRunner(this, context, parsed.get(), exchange);
        flows.put(parsed.get().request().id(), runner);
        runner.start();
    }

    /**
     * Delivers a frame from an owner to the flow of the request that it is about.
     *
     * @param owner sender of the frame
     * @param frame received frame
     * @return false if the frame does not concern an attempt of a request or is malformed
     */
    public boolean frameReceived(RouterId owner, Frame frame) {
        Optional<RequestEvent.AttemptEvent> event = OwnerFrameCodec.decode(owner, frame);
        if (event.isEmpty()) {
            return false;
        }
        FlowRunner runner = flows.get(event.get().attempt().request());
        if (runner != null) {
            runner.post(event.get());
        } else if (event.get() instanceof RequestEvent.OwnerGranted granted) {
            context.owners().send(owner, OwnerFrameCodec.withdraw(granted.attempt(), "request has ended"));
        }
        return true;
    }

    /**
     * Notifies all flows that an owner was lost.
     *
     * @param owner lost owner
     */
    public void ownerLost(RouterId owner) {
        flows.values().forEach(runner -> runner.post(new RequestEvent.OwnerLost(owner)));
    }

    /**
     * Reports the requests in flight on a server to its new owner and notifies their flows.
     *
     * @param server server
     * @param owner new owner
     */
    public void serverOwnerChanged(ServerName server, RouterId owner) {
        flows.values().forEach(runner -> runner.serverOwnerChanged(server, owner));
    }

    /** Sends the pending progress reports to the owners; called once a second. */
    public void flushProgress() {
        Map<RouterId, List<Progress>> batches;
        synchronized (pendingProgress) {
            batches = new LinkedHashMap<>(pendingProgress);
            pendingProgress.clear();
        }
        batches.forEach((owner, entries) -> {
            for (int from = 0; from < entries.size(); from += MAX_PROGRESS_ENTRIES) {
                List<Progress> part = entries.subList(from, Math.min(entries.size(), from + MAX_PROGRESS_ENTRIES));
                context.owners()
                        .send(
                                owner,
                                Frame.newBuilder()
                                        .setProgress(ProgressBatch.newBuilder().addAllEntries(part))
                                        .build());
            }
        });
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return number of flows that have not been closed
     */
    public int requestsInProgress() {
        return flows.size();
    }

    void queueProgress(RequestAction.ReportProgress action) {
        synchronized (pendingProgress) {
            pendingProgress
                    .computeIfAbsent(action.owner(), owner -> new ArrayList<>())
                    .add(OwnerFrameCodec.progress(action));
        }
    }

    void recordOutput(CallerRequest request, long units) {
        long output = Math.max(1, units - request.estimatedInputUnits());
        outputEstimator.recordOutput(request.workspace(), request.classOfWork().name(), output);
    }

    void removeFlow(RequestId id) {
        flows.remove(id);
    }

    private void refuse(HttpExchange exchange, ErrorCode code, String message) {
        context.metrics().count("requests_total{outcome=\"" + code.label() + "\",execution=\"not_run\"}");
        ErrorBody.of(code.status(), code.label(), message, code.remedy()).send(exchange);
    }

    private RequestId nextRequestId() {
        return new RequestId(requestPrefix + Long.toString(nextRequest.incrementAndGet(), 36));
    }

    private BearerKeys<Workspace> keys(FleetConfiguration configuration) {
        VersionedKeys current = keys;
        if (current.version() != configuration.version()) {
            Map<Workspace, List<String>> digests = new LinkedHashMap<>();
            configuration.workspaces().values().forEach(workspace -> digests.put(workspace, workspace.keyDigests()));
            current = new VersionedKeys(configuration.version(), new BearerKeys<>(digests));
            keys = current;
        }
        return current.keys();
    }
}
