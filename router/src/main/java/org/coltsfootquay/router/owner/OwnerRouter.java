package org.coltsfootquay.router.owner;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.dispatch.DispatchAction;
import org.coltsfootquay.decision.dispatch.DispatchEvent;
import org.coltsfootquay.decision.dispatch.LoadReport;
import org.coltsfootquay.decision.dispatch.ServiceDispatcher;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.fairness.WorkspaceUsage;
import org.coltsfootquay.decision.ownership.OwnedServer;
import org.coltsfootquay.decision.ownership.OwnedServers;
import org.coltsfootquay.protocol.generated.Enqueue;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.protocol.generated.Probe;
import org.coltsfootquay.protocol.generated.ProbeReply;
import org.coltsfootquay.protocol.generated.Refuse;

/**
 * Owner side of a router: runs the dispatchers of all services on one thread.
 *
 * <p>All methods may be called from any thread; work on the dispatchers is queued to the dispatch thread.
 */
public final class OwnerRouter {

    private final Function<ServiceName, ServiceDispatcher> dispatcherFactory;
    private final BiConsumer<RouterId, Frame> frameSender;
    private final OwnerObserver observer;
    private final ProbePlanner probePlanner;
    private final LongSupplier clock;
    private final DispatchThread thread;
    private final Map<ServiceName, ServiceDispatcher> dispatchers = new TreeMap<>();
    private final IdentityHashMap<ServiceDispatcher, ServiceName> serviceNames = new IdentityHashMap<>();
    private OwnedServers ownedServers = new OwnedServers(List.of());
    private ServiceTotals totals = ServiceTotals.TOPIC.initialValue();
    private FleetConfiguration configuration = FleetConfiguration.none();
    private boolean stopping;
    private volatile int waitingRequests;

    /**
     * Creates an owner without dispatchers; they are created with the services of the configuration.
     *
     * @param name prefix of the thread name
     * @param dispatcherFactory creates the dispatcher for a service
     * @param frameSender sends a frame to another router; called on the dispatch thread unless the task queue is full
     * @param observer observer of the dispatchers' decisions
     * @param targets other owners to probe
     * @param clock monotonic clock in nanoseconds
     */
    public OwnerRouter(
            String name,
            Function<ServiceName, ServiceDispatcher> dispatcherFactory,
            BiConsumer<RouterId, Frame> frameSender,
            OwnerObserver observer,
            ProbeTargets targets,
            LongSupplier clock) {
        this.probePlanner = new ProbePlanner(targets, new SplittableRandom(name.hashCode()));
        this.observer = observer;
        this.dispatcherFactory = dispatcherFactory;
        this.frameSender = frameSender;
        this.clock = clock;
        this.thread = new DispatchThread(name + "-dispatch", this::tick);
    }

    /** Starts the dispatch thread. */
    public void start() {
        thread.start();
    }

    /** Stops the dispatch thread; later events have no effect. */
    public void close() {
        thread.stop();
    }

    /**
     * Handles a frame from an entry router or another owner.
     *
     * @param from sender
     * @param frame frame
     * @return false if frames of this type are not handled by owners
     */
    public boolean handleFrame(RouterId from, Frame frame) {
        switch (frame.getBodyCase()) {
            case ENQUEUE -> enqueue(from, frame.getEnqueue());
            case WITHDRAW ->
                postToAll(new DispatchEvent.Withdrawn(EntryFrameCodec.decodeAttempt(
                        frame.getWithdraw().getRequest(), frame.getWithdraw().getAttempt())));
            case STARTED ->
                postToAll(new DispatchEvent.SendStarted(EntryFrameCodec.decodeAttempt(
                        frame.getStarted().getRequest(), frame.getStarted().getAttempt())));
            case PROGRESS ->
                frame.getProgress().getEntriesList().forEach(entry -> postToAll(EntryFrameCodec.decodeProgress(entry)));
            case FINISHED -> postToAll(EntryFrameCodec.decodeFinished(frame.getFinished()));
            case IN_FLIGHT ->
                postToServer(
                        new ServerName(frame.getInFlight().getServer()),
                        () -> new DispatchEvent.InFlightReported(
                                new ServerName(frame.getInFlight().getServer()),
                                EntryFrameCodec.decodeInFlight(
                                        from, frame.getInFlight().getRequestsList())));
            case SERVER_HANDOVER ->
                postToServer(
                        new ServerName(frame.getServerHandover().getServer()),
                        () -> EntryFrameCodec.decodeHandover(from, frame.getServerHandover()));
            case PROBE -> handleProbe(from, frame.getProbe());
            case PROBE_REPLY ->
                handleProbeReply(
                        new ServiceName(frame.getProbeReply().getService()),
                        from,
                        frame.getProbeReply().getFreeSlots(),
                        frame.getProbeReply().getQueueLength());
            default -> {
                return false;
            }
        }
        return true;
    }

    /**
     * Drops the waiting requests of an entry router after its connection was lost.
     *
     * @param entryRouter entry router
     */
    public void entryRouterLost(RouterId entryRouter) {
        postToAll(new DispatchEvent.EntryRouterLost(entryRouter));
    }

    /**
     * Replaces the owned servers.
     *
     * @param servers owned servers of all services
     */
    public void setOwnedServers(OwnedServers servers) {
        post(() -> {
            ownedServers = servers;
            dispatchers.forEach((service, dispatcher) -> handleEvent(dispatcher, serversChanged(service)));
        });
    }

    /**
     * Replaces the configuration and creates dispatchers for new services.
     *
     * @param newConfiguration new configuration
     */
    public void setConfiguration(FleetConfiguration newConfiguration) {
        post(() -> {
            configuration = newConfiguration;
            observer.configurationChanged(newConfiguration, clock.getAsLong());
            newConfiguration.services().keySet().forEach(this::createDispatcher);
            dispatchers
                    .values()
                    .forEach(dispatcher ->
                            handleEvent(dispatcher, new DispatchEvent.ConfigurationChanged(newConfiguration)));
        });
    }

    /**
     * Replaces the service totals.
     *
     * @param newTotals new totals of all services
     */
    public void setTotals(ServiceTotals newTotals) {
        post(() -> {
            totals = newTotals;
            dispatchers
                    .values()
                    .forEach(dispatcher -> handleEvent(dispatcher, new DispatchEvent.TotalsChanged(newTotals)));
        });
    }

    /**
     * Passes a load report to the dispatcher of a server's service.
     *
     * @param service service of the server
     * @param server server
     * @param report load report
     */
    public void recordLoadReport(ServiceName service, ServerName server, LoadReport report) {
        post(() -> {
            ServiceDispatcher dispatcher = dispatchers.get(service);
            if (dispatcher != null) {
                handleEvent(dispatcher, new DispatchEvent.LoadReported(server, report));
            }
        });
    }

    /**
     * Creates the frame that hands the dispatch state of a server over to its next owner.
     *
     * @param server server
     * @param fencingNumber fencing number of the next owner
     * @param receiver receives the frame on the dispatch thread; not called if no dispatcher knows the server
     */
    public void createHandover(ServerName server, long fencingNumber, Consumer<Frame> receiver) {
        post(() -> dispatchers.values().stream()
                .flatMap(dispatcher -> dispatcher.handoverState(server).stream())
                .findFirst()
                .ifPresent(state -> receiver.accept(EntryFrameCodec.encodeHandover(state, fencingNumber))));
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return waiting requests of all services as of the last tick
     */
    public int waitingRequests() {
        return waitingRequests;
    }

    /**
     * Returns the CPU time of the dispatch thread.
     *
     * @return nanoseconds of CPU time since the thread started
     */
    public long cpuNanos() {
        return thread.cpuNanos();
    }

    /** Starts the shutdown: waiting requests are redirected or refused. */
    public void startShutdown() {
        post(() -> {
            stopping = true;
            dispatchers.values().forEach(dispatcher -> handleEvent(dispatcher, new DispatchEvent.ShutdownStarted()));
        });
    }

    /**
     * Drains the usage counters of all services.
     *
     * @param receiver receives the drained usage and the current loads on the dispatch thread
     */
    public void drainUsage(Consumer<Usage> receiver) {
        post(() -> {
            List<WorkspaceUsage> increments = new ArrayList<>();
            Map<ServiceName, ServiceTotals.OwnerLoad> loads = new TreeMap<>();
            long now = clock.getAsLong();
            dispatchers.forEach((service, dispatcher) -> {
                increments.addAll(dispatcher.drainUsage());
                loads.put(service, dispatcher.load(now));
            });
            receiver.accept(new Usage(increments, loads));
        });
    }

    /**
     * Reads the current loads of all services.
     *
     * @param receiver receives the loads by service on the dispatch thread
     */
    public void readLoads(Consumer<Map<ServiceName, ServiceTotals.OwnerLoad>> receiver) {
        post(() -> {
            Map<ServiceName, ServiceTotals.OwnerLoad> loads = new TreeMap<>();
            long now = clock.getAsLong();
            dispatchers.forEach((service, dispatcher) -> loads.put(service, dispatcher.load(now)));
            receiver.accept(loads);
        });
    }

    /**
     * Usage and loads, taken at the same time.
     *
     * @param increments usage charged since the last drain
     * @param loads load by service
     */
    public record Usage(List<WorkspaceUsage> increments, Map<ServiceName, ServiceTotals.OwnerLoad> loads) {}

    private void enqueue(RouterId from, Enqueue enqueue) {
        boolean queued = thread.execute(() -> {
            DispatchEvent.Submitted submitted = EntryFrameCodec.decodeEnqueue(from, enqueue, clock.getAsLong());
            ServiceName service = submitted.request().service();
            if (dispatchers.containsKey(service)) {
                handleEvent(dispatchers.get(service), submitted);
            } else {
                refuse(from, enqueue, "not_owner");
            }
        });
        if (!queued) {
            refuse(from, enqueue, "workspace_queue_full");
        }
    }

    private void refuse(RouterId entryRouter, Enqueue enqueue, String code) {
        frameSender.accept(
                entryRouter,
                Frame.newBuilder()
                        .setRefuse(Refuse.newBuilder()
                                .setRequest(enqueue.getRequest())
                                .setAttempt(enqueue.getAttempt())
                                .setCode(code)
                                .setRetryAfterMillis(1000))
                        .build());
    }

    private void postToServer(ServerName server, Supplier<DispatchEvent> event) {
        post(() -> ownedServers.servers().stream()
                .filter(entry -> entry.name().equals(server))
                .map(OwnedServer::service)
                .findFirst()
                .map(dispatchers::get)
                .ifPresent(dispatcher -> handleEvent(dispatcher, event.get())));
    }

    private void handleProbe(RouterId from, Probe probe) {
        ServiceName service = new ServiceName(probe.getService());
        post(() -> {
            ServiceDispatcher dispatcher = dispatchers.get(service);
            if (dispatcher == null) {
                return;
            }
            if (probe.getFreeSlots() > 0 && probe.getQueueLength() == 0) {
                handleEvent(dispatcher, new DispatchEvent.IdleOwnerFound(from, probe.getFreeSlots()));
            }
            ServiceTotals.OwnerLoad load = dispatcher.load(clock.getAsLong());
            frameSender.accept(
                    from,
                    Frame.newBuilder()
                            .setProbeReply(ProbeReply.newBuilder()
                                    .setService(service.value())
                                    .setFreeSlots(load.freeSlots())
                                    .setQueueLength(load.queueLength())
                                    .setOldestWaitMillis(load.oldestWaitMillis()))
                            .build());
        });
    }

    private void handleProbeReply(ServiceName service, RouterId owner, int freeSlots, int queueLength) {
        post(() -> {
            ServiceDispatcher dispatcher = dispatchers.get(service);
            if (dispatcher != null) {
                probePlanner.recordReply(service, freeSlots, queueLength);
                if (freeSlots > 0 && queueLength == 0) {
                    handleEvent(dispatcher, new DispatchEvent.IdleOwnerFound(owner, freeSlots));
                }
            }
        });
    }

    private void sendProbe(ServiceName service, ServiceTotals.OwnerLoad load, RouterId target) {
        frameSender.accept(
                target,
                Frame.newBuilder()
                        .setProbe(Probe.newBuilder()
                                .setService(service.value())
                                .setFreeSlots(load.freeSlots())
                                .setQueueLength(load.queueLength())
                                .setOldestWaitMillis(load.oldestWaitMillis()))
                        .build());
    }

    /** Posts an event to every dispatcher: few services exist, and dispatchers ignore attempts they do not know. */
    private void postToAll(DispatchEvent event) {
        post(() -> dispatchers.values().forEach(dispatcher -> handleEvent(dispatcher, event)));
    }

    private boolean tick() {
        int sum = 0;
        long now = clock.getAsLong();
        for (ServiceDispatcher dispatcher : dispatchers.values()) {
            handleEvent(dispatcher, new DispatchEvent.Ticked());
            observer.ticked(serviceNames.get(dispatcher), dispatcher, now);
            ServiceTotals.OwnerLoad load = dispatcher.load(now);
            sum += load.queueLength();
            if (!stopping) {
                probePlanner
                        .nextTarget(serviceNames.get(dispatcher), load, now)
                        .ifPresent(target -> sendProbe(serviceNames.get(dispatcher), load, target));
            }
        }
        waitingRequests = sum;
        return sum > 0;
    }

    private void createDispatcher(ServiceName service) {
        if (dispatchers.containsKey(service)) {
            return;
        }
        ServiceDispatcher created = dispatcherFactory.apply(service);
        dispatchers.put(service, created);
        serviceNames.put(created, service);
        handleEvent(created, new DispatchEvent.ConfigurationChanged(configuration));
        handleEvent(created, serversChanged(service));
        handleEvent(created, new DispatchEvent.TotalsChanged(totals));
        if (stopping) {
            handleEvent(created, new DispatchEvent.ShutdownStarted());
        }
    }

    private DispatchEvent serversChanged(ServiceName service) {
        return new DispatchEvent.ServersChanged(ownedServers.servers().stream()
                .filter(server -> server.service().equals(service))
                .toList());
    }

    private void handleEvent(ServiceDispatcher dispatcher, DispatchEvent event) {
        long now = clock.getAsLong();
        for (DispatchAction action : dispatcher.handle(event, now)) {
            observer.actionTaken(serviceNames.get(dispatcher), action, dispatcher, now);
            Optional<Frame> frame = EntryFrameCodec.encodeAction(action);
            if (frame.isPresent()) {
                frameSender.accept(action.entryRouter(), frame.get());
            }
        }
    }

    private void post(Runnable task) {
        thread.execute(task);
    }
}
