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
 * Owner side of a router: the dispatchers of all services on one thread.
 *
 * <p>All methods may be called from any thread; they hand the work to the dispatch thread.
 */
public final class OwnerRouter {

    private final Function<ServiceName, ServiceDispatcher> factory;
    private final BiConsumer<RouterId, Frame> frames;
    private final OwnerObserver observer;
    private final ProbePlanner probes;
    private final LongSupplier clock;
    private final DispatchThread thread;
    private final Map<ServiceName, ServiceDispatcher> dispatchers = new TreeMap<>();
    private final IdentityHashMap<ServiceDispatcher, ServiceName> names = new IdentityHashMap<>();
    private OwnedServers owned = new OwnedServers(List.of());
    private ServiceTotals setTotals = ServiceTotals.TOPIC.initialValue();
    private FleetConfiguration setConfiguration = FleetConfiguration.none();
    private boolean stopping;
    private volatile int waitingRequests;

    /**
     * Creates an owner without dispatchers; they appear with the services of the configuration.
     *
     * @param name prefix of the thread name
     * @param factory creates the dispatcher of a service
     * @param frames sends a frame to an entry router; called on the dispatch thread
     * @param observer sees what the dispatchers decide
     * @param targets other owners to probe
     * @param clock monotonic clock in nanoseconds
     */
    public OwnerRouter(
            String name,
            Function<ServiceName, ServiceDispatcher> factory,
            BiConsumer<RouterId, Frame> frames,
            OwnerObserver observer,
            ProbeTargets targets,
            LongSupplier clock) {
        this.probes = new ProbePlanner(targets, new SplittableRandom(name.hashCode()));
        this.observer = observer;
        this.factory = factory;
        this.frames = frames;
        this.clock = clock;
        this.thread = new DispatchThread(name + "-dispatch", this::tick);
    }

    /** Starts the dispatch thread. */
    public void start() {
        thread.start();
    }

    /** Ends the dispatch thread; later events are dropped. */
    public void close() {
        thread.stop();
    }

    /**
     * Takes a frame of an entry router or of another owner.
     *
     * @param from sender
     * @param frame frame
     * @return false when the frame is not for an owner
     */
    public boolean handleFrame(RouterId from, Frame frame) {
        switch (frame.getBodyCase()) {
            case ENQUEUE -> enqueue(from, frame.getEnqueue());
            case WITHDRAW ->
                toAll(new DispatchEvent.Withdrawn(EntryFrameCodec.decodeAttempt(
                        frame.getWithdraw().getRequest(), frame.getWithdraw().getAttempt())));
            case STARTED ->
                toAll(new DispatchEvent.SendStarted(EntryFrameCodec.decodeAttempt(
                        frame.getStarted().getRequest(), frame.getStarted().getAttempt())));
            case PROGRESS ->
                frame.getProgress().getEntriesList().forEach(entry -> toAll(EntryFrameCodec.decodeProgress(entry)));
            case FINISHED -> toAll(EntryFrameCodec.decodeFinished(frame.getFinished()));
            case IN_FLIGHT ->
                inFlight(
                        new ServerName(frame.getInFlight().getServer()),
                        () -> new DispatchEvent.InFlightReported(
                                new ServerName(frame.getInFlight().getServer()),
                                EntryFrameCodec.decodeInFlight(from, frame.getInFlight().getRequestsList())));
            case SERVER_HANDOVER ->
                inFlight(
                        new ServerName(frame.getServerHandover().getServer()),
                        () -> EntryFrameCodec.decodeHandover(from, frame.getServerHandover()));
            case PROBE -> probe(from, frame.getProbe());
            case PROBE_REPLY ->
                idleOwner(
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
     * Drops the waiting requests of an entry router whose connection was lost.
     *
     * @param entry entry router
     */
    public void entryRouterLost(RouterId entry) {
        toAll(new DispatchEvent.EntryRouterLost(entry));
    }

    /**
     * Takes a new list of owned servers.
     *
     * @param servers servers of all services
     */
    public void setOwnedServers(OwnedServers servers) {
        post(() -> {
            owned = servers;
            dispatchers.forEach((service, dispatcher) -> run(dispatcher, serversOf(service)));
        });
    }

    /**
     * Takes a new configuration.
     *
     * @param newConfiguration configuration
     */
    public void setConfiguration(FleetConfiguration newConfiguration) {
        post(() -> {
            setConfiguration = newConfiguration;
            observer.configurationChanged(newConfiguration, clock.getAsLong());
            newConfiguration.services().keySet().forEach(this::dispatcher);
            dispatchers
                    .values()
                    .forEach(dispatcher -> run(dispatcher, new DispatchEvent.ConfigurationChanged(newConfiguration)));
        });
    }

    /**
     * Takes new totals.
     *
     * @param newTotals totals of all services
     */
    public void setTotals(ServiceTotals newTotals) {
        post(() -> {
            setTotals = newTotals;
            dispatchers.values().forEach(dispatcher -> run(dispatcher, new DispatchEvent.TotalsChanged(newTotals)));
        });
    }

    /**
     * Takes the load of a server.
     *
     * @param service service of the server
     * @param server server
     * @param report load
     */
    public void recordLoadReport(ServiceName service, ServerName server, LoadReport report) {
        post(() -> {
            ServiceDispatcher dispatcher = dispatchers.get(service);
            if (dispatcher != null) {
                run(dispatcher, new DispatchEvent.LoadReported(server, report));
            }
        });
    }

    /**
     * Writes down what the next owner of a server needs to know.
     *
     * @param server server
     * @param fencingNumber fencing number of the next owner
     * @param receiver receives the message, on the dispatch thread; not called when the server is unknown
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
     * @return requests of all services, as of the last tick
     */
    public int waitingRequests() {
        return waitingRequests;
    }

    /**
     * Returns the processor time that the dispatch thread used.
     *
     * @return nanoseconds since the start
     */
    public long cpuNanos() {
        return thread.cpuNanos();
    }

    /** Begins the planned stop: queues are redirected or refused. */
    public void startShutdown() {
        post(() -> {
            stopping = true;
            dispatchers.values().forEach(dispatcher -> run(dispatcher, new DispatchEvent.ShutdownStarted()));
        });
    }

    /**
     * Drains the usage counters of all services.
     *
     * @param receiver receives them with the loads, on the dispatch thread
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
     * Reads the loads of all services.
     *
     * @param receiver receives them, on the dispatch thread
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
     * Service charged and loads of one moment.
     *
     * @param increments service charged since the last drain
     * @param loads load by service
     */
    public record Usage(List<WorkspaceUsage> increments, Map<ServiceName, ServiceTotals.OwnerLoad> loads) {}

    private void enqueue(RouterId from, Enqueue enqueue) {
        boolean queued = thread.execute(() -> {
            DispatchEvent.Submitted submitted = EntryFrameCodec.decodeEnqueue(from, enqueue, clock.getAsLong());
            ServiceName service = submitted.request().service();
            if (dispatchers.containsKey(service)) {
                run(dispatchers.get(service), submitted);
            } else {
                refuse(from, enqueue, "not_owner");
            }
        });
        if (!queued) {
            refuse(from, enqueue, "workspace_queue_full");
        }
    }

    private void refuse(RouterId entry, Enqueue enqueue, String code) {
        frames.accept(
                entry,
                Frame.newBuilder()
                        .setRefuse(Refuse.newBuilder()
                                .setRequest(enqueue.getRequest())
                                .setAttempt(enqueue.getAttempt())
                                .setCode(code)
                                .setRetryAfterMillis(1000))
                        .build());
    }

    private void inFlight(ServerName server, Supplier<DispatchEvent> event) {
        post(() -> owned.servers().stream()
                .filter(entry -> entry.name().equals(server))
                .map(OwnedServer::service)
                .findFirst()
                .map(dispatchers::get)
                .ifPresent(dispatcher -> run(dispatcher, event.get())));
    }

    private void probe(RouterId from, Probe probe) {
        ServiceName service = new ServiceName(probe.getService());
        post(() -> {
            ServiceDispatcher dispatcher = dispatchers.get(service);
            if (dispatcher == null) {
                return;
            }
            if (probe.getFreeSlots() > 0 && probe.getQueueLength() == 0) {
                run(dispatcher, new DispatchEvent.IdleOwnerFound(from, probe.getFreeSlots()));
            }
            ServiceTotals.OwnerLoad load = dispatcher.load(clock.getAsLong());
            frames.accept(
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

    private void idleOwner(ServiceName service, RouterId owner, int freeSlots, int queueLength) {
        post(() -> {
            ServiceDispatcher dispatcher = dispatchers.get(service);
            if (dispatcher != null) {
                probes.recordReply(service, freeSlots, queueLength);
                if (freeSlots > 0 && queueLength == 0) {
                    run(dispatcher, new DispatchEvent.IdleOwnerFound(owner, freeSlots));
                }
            }
        });
    }

    private void sendProbe(ServiceName service, ServiceTotals.OwnerLoad load, RouterId target) {
        frames.accept(
                target,
                Frame.newBuilder()
                        .setProbe(Probe.newBuilder()
                                .setService(service.value())
                                .setFreeSlots(load.freeSlots())
                                .setQueueLength(load.queueLength())
                                .setOldestWaitMillis(load.oldestWaitMillis()))
                        .build());
    }

    /** Attempts are unknown to all dispatchers but one, which ignore them; there are few services. */
    private void toAll(DispatchEvent event) {
        post(() -> dispatchers.values().forEach(dispatcher -> run(dispatcher, event)));
    }

    private boolean tick() {
        int sum = 0;
        long now = clock.getAsLong();
        for (ServiceDispatcher dispatcher : dispatchers.values()) {
            run(dispatcher, new DispatchEvent.Ticked());
            observer.ticked(names.get(dispatcher), dispatcher, now);
            ServiceTotals.OwnerLoad load = dispatcher.load(now);
            sum += load.queueLength();
            if (!stopping) {
                probes.nextTarget(names.get(dispatcher), load, now)
                        .ifPresent(target -> sendProbe(names.get(dispatcher), load, target));
            }
        }
        waitingRequests = sum;
        return sum > 0;
    }

    private void dispatcher(ServiceName service) {
        if (dispatchers.containsKey(service)) {
            return;
        }
        ServiceDispatcher created = factory.apply(service);
        dispatchers.put(service, created);
        names.put(created, service);
        run(created, new DispatchEvent.ConfigurationChanged(setConfiguration));
        run(created, serversOf(service));
        run(created, new DispatchEvent.TotalsChanged(setTotals));
        if (stopping) {
            run(created, new DispatchEvent.ShutdownStarted());
        }
    }

    private DispatchEvent serversOf(ServiceName service) {
        return new DispatchEvent.ServersChanged(owned.servers().stream()
                .filter(server -> server.service().equals(service))
                .toList());
    }

    private void run(ServiceDispatcher dispatcher, DispatchEvent event) {
        long now = clock.getAsLong();
        for (DispatchAction action : dispatcher.handle(event, now)) {
            observer.actionTaken(names.get(dispatcher), action, dispatcher, now);
            Optional<Frame> frame = EntryFrameCodec.encodeAction(action);
            if (frame.isPresent()) {
                frames.accept(action.entryRouter(), frame.get());
            }
        }
    }

    private void post(Runnable task) {
        thread.execute(task);
    }
}
