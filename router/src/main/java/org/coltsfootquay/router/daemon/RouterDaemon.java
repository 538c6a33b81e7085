package org.coltsfootquay.router.daemon;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.configuration.ConfigurationSettings;
import org.coltsfootquay.decision.configuration.ConfigurationTopic;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.control.ControlPlane;
import org.coltsfootquay.decision.control.ControlPorts;
import org.coltsfootquay.decision.control.ControlSettings;
import org.coltsfootquay.decision.dispatch.ServiceDispatcher;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.invariant.InvariantMonitor;
import org.coltsfootquay.decision.invariant.RequestInvariants;
import org.coltsfootquay.decision.membership.AdmissionPermit;
import org.coltsfootquay.decision.membership.AdmissionPermitSettings;
import org.coltsfootquay.decision.membership.Member;
import org.coltsfootquay.decision.membership.MembershipSettings;
import org.coltsfootquay.decision.membership.MembershipView;
import org.coltsfootquay.decision.membership.PeerConnectivity;
import org.coltsfootquay.decision.ownership.OwnedServers;
import org.coltsfootquay.decision.ownership.OwnerMap;
import org.coltsfootquay.decision.ownership.OwnershipSettings;
import org.coltsfootquay.decision.placement.PowerOfTwoChoicesSelector;
import org.coltsfootquay.decision.retry.RetryBudget;
import org.coltsfootquay.decision.shutdown.ShutdownController;
import org.coltsfootquay.decision.shutdown.ShutdownSettings;
import org.coltsfootquay.decision.shutdown.ShutdownState;
import org.coltsfootquay.decision.store.StoreWatcherSettings;
import org.coltsfootquay.decision.timeline.EventKind;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.router.backend.BackendClient;
import org.coltsfootquay.router.backend.ServerControlClient;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.entry.EntryContext;
import org.coltsfootquay.router.entry.EntryRouter;
import org.coltsfootquay.router.http.ApiRoutes;
import org.coltsfootquay.router.http.BearerKeys;
import org.coltsfootquay.router.http.ErrorBody;
import org.coltsfootquay.router.http.HttpExchange;
import org.coltsfootquay.router.http.HttpFrontEnd;
import org.coltsfootquay.router.http.HttpLimits;
import org.coltsfootquay.router.http.HttpRequestHandler;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.metrics.RouterMetrics;
import org.coltsfootquay.router.owner.OwnerRouter;
import org.coltsfootquay.router.peer.PeerIdentity;
import org.coltsfootquay.router.peer.PeerLimits;
import org.coltsfootquay.router.peer.PeerNetwork;
import org.coltsfootquay.router.settings.RouterSettings;
import org.coltsfootquay.router.timeline.TimelineBuffer;
import org.coltsfootquay.router.timeline.TimelineJsonUtils;

/** Router with its transports, controllers, dispatchers and request flows; one process can run several. */
public final class RouterDaemon {

    private static final EventLog LOG = EventLog.of(RouterDaemon.class);
    private static final Duration PROGRESS_PERIOD = Duration.ofSeconds(1);
    private static final Duration READY_CHECK_PERIOD = Duration.ofMillis(20);

    /** Minimum time between updates of the last peer contact; limits the blackboard writes under load. */
    private static final long CONTACT_UPDATE_INTERVAL_NANOS =
            Duration.ofMillis(100).toNanos();

    private final RouterSettings settings;
    private final long startMillis = System.currentTimeMillis();
    private final Blackboard blackboard = new Blackboard();
    private final RouterMetrics metrics = new RouterMetrics();
    private final TimelineBuffer timeline;
    private final InvariantMonitor monitor;
    private final RequestInvariants requestInvariants;
    private final EventLoopGroup eventLoops;
    private final ControlThread controlThread;
    private final PlatformPorts platform;
    private final BackendClient backendClient;
    private final ServerControlClient serverControlClient;
    private final PeerNetwork network;
    private final FrameRouter frameRouter;
    private final EntryRouter entryRouter;
    private final OwnerRouter ownerRouter;
    private final RecordService recordService;
    private final ConfigurationExchange configurationExchange;
    private final TotalsExchange totalsExchange;
    private final AtomicLong lastPeerContactNanos = new AtomicLong(Long.MIN_VALUE / 2);
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    /** Last known owner of each server, kept while a server has none; confined to the control thread. */
    private final Map<ServerName, OwnerMap.Owner> lastOwners = new HashMap<>();

    private volatile HttpFrontEnd frontEnd;
    private volatile HttpRequestHandler apiRoutes;
    private ControlPlane controlPlane;
    private ShutdownController shutdown;
    private TimerService.ScheduledTask readyCheck;
    private volatile String callerAddress = "";
    private volatile String peerAddress = "";
    private volatile boolean stopping;

    /**
     * Creates a router, which is inactive until {@link #start()}.
     *
     * @param settings settings
     * @param options options of the embedding program
     */
    public RouterDaemon(RouterSettings settings, RouterOptions options) {
        this.settings = settings;
        String name = settings.id().value();
        this.timeline = new TimelineBuffer(
                name, options.timelineCapacity(), () -> System.currentTimeMillis() * 1_000, recorded -> {
                    LOG.info(recorded.event().kind().label(), recorded.event().fields());
                    options.observer().accept(recorded);
                });
        this.monitor = new InvariantMonitor(timeline);
        this.requestInvariants = new RequestInvariants(monitor);
        this.eventLoops = ChannelUtils.eventLoops(name, options.eventLoopThreads());
        this.controlThread = new ControlThread(name + "-control");
        this.platform = options.platform().create(settings.platformAddress(), eventLoops, controlThread);
        this.backendClient = new BackendClient(eventLoops);
        this.serverControlClient = new ServerControlClient(backendClient);
        SharedRequestTracker sharedRequests = new SharedRequestTracker();
        this.frameRouter = new FrameRouter(settings.id(), sharedRequests, this::recordPeerContact);
        this.network = new PeerNetwork(
                new PeerIdentity(settings.id(), startMillis, settings.zone()),
                settings.fleetKey().getBytes(StandardCharsets.UTF_8),
                eventLoops,
                PeerLimits.defaults(),
                router -> Optional.ofNullable(
                                blackboard.read(MembershipView.TOPIC).members().get(router))
                        .map(Member::peerAddress),
                sharedRequests::hasSharedRequests,
                frameRouter);
        this.configurationExchange = new ConfigurationExchange(network);
        this.recordService = new RecordService(
                controlThread, platform.table(), settings.id(), frameRouter, this::activeRoutersOfRegion);
        this.ownerRouter = new OwnerRouter(
                name,
                service -> new ServiceDispatcher(service, settings.id(), options.policy()),
                frameRouter::send,
                new DispatchMonitor(settings.id(), blackboard, timeline, metrics, monitor),
                new TotalsProbeTargetSelector(settings.id(), blackboard),
                System::nanoTime);
        this.totalsExchange = new TotalsExchange(
                controlThread, blackboard, ownerRouter, frameRouter, settings.id(), settings.region(), startMillis);
        this.entryRouter = createEntryRouter();
        frameRouter.connect(
                network,
                entryRouter,
                ownerRouter,
                this::handleControlFrame,
                peer -> controlThread.execute(() -> recordService.peerLost(peer)));
        RouterGauges.register(metrics, blackboard, monitor, network, platform);
        metrics.gauge("requests_in_progress", entryRouter::requestsInProgress);
        metrics.gauge("requests_waiting", ownerRouter::waitingRequests);
        metrics.gauge("backend_connections", backendClient::connectionCount);
        metrics.gauge("control_thread_cpu_seconds", () -> controlThread.cpuNanos() / 1e9);
        metrics.gauge("dispatch_thread_cpu_seconds", () -> ownerRouter.cpuNanos() / 1e9);
    }

    /**
     * Starts the router.
     *
     * @return future that completes when the router serves requests and fails when an address is in use
     */
    public CompletableFuture<Void> start() {
        controlThread.start();
        ownerRouter.start();
        frontEnd = new HttpFrontEnd(eventLoops, createHttpLimits(), this::handle);
        return network.listen(settings.peerAddress())
                .thenCompose(peer -> {
                    peerAddress = peer;
                    return frontEnd.listen(settings.callerAddress());
                })
                .thenCompose(caller -> {
                    callerAddress = caller;
                    return CompletableFuture.runAsync(this::startControl, controlThread);
                });
    }

    /**
     * Returns a future that completes when the router is ready: a configuration is in force and new work is permitted.
     *
     * @return future that completes once
     */
    public CompletableFuture<Void> ready() {
        return ready;
    }

    /**
     * Begins a graceful shutdown, which interrupts no request; further calls have no effect.
     *
     * @return future that completes when the shutdown has ended
     */
    public CompletableFuture<Void> stop() {
        controlThread.execute(() -> {
            if (!stopping) {
                stopping = true;
                ownerRouter.startShutdown();
                shutdown.begin(this::shutdownCompleted);
            }
        });
        return stopped;
    }

    /** Stops the router immediately, as a crash does; its rows in the store remain until they expire. */
    public void kill() {
        stopping = true;
        if (frontEnd != null) {
            frontEnd.close();
        }
        close();
    }

    /**
     * Returns the identifier of this router.
     *
     * @return identifier
     */
    public RouterId id() {
        return settings.id();
    }

    /**
     * Returns the address that callers and operators connect to.
     *
     * @return {@code host:port}; empty before the start
     */
    public String callerAddress() {
        return callerAddress;
    }

    /**
     * Returns the address that other routers connect to.
     *
     * @return {@code host:port}; empty before the start
     */
    public String peerAddress() {
        return peerAddress;
    }

    /**
     * Reads the loads of the dispatchers of this router.
     *
     * @param receiver receives the load of each service on the dispatch thread; must not block
     */
    public void readLoads(Consumer<Map<ServiceName, ServiceTotals.OwnerLoad>> receiver) {
        ownerRouter.readLoads(receiver);
    }

    /**
     * Returns the metrics of this router.
     *
     * @return metrics
     */
    public RouterMetrics metrics() {
        return metrics;
    }

    /**
     * Returns the timeline of this router.
     *
     * @return timeline
     */
    public TimelineBuffer timeline() {
        return timeline;
    }

    /**
     * Returns the blackboard of this router, for embedding programs that observe its state.
     *
     * @return blackboard
     */
    public Blackboard blackboard() {
        return blackboard;
    }

    /**
     * Returns the peer network of this router, which gives access to its traffic counters.
     *
     * @return peer network
     */
    public PeerNetwork network() {
        return network;
    }

    /**
     * Injects a network partition: drops all frames to and from the given routers.
     *
     * @param routers routers behind the partition; replaces those given before
     */
    public void setPartitionedRouters(Predicate<RouterId> routers) {
        network.setPartitionedRouters(routers);
    }

    private void handle(HttpExchange exchange) {
        HttpRequestHandler handler = apiRoutes;
        if (handler != null) {
            handler.handle(exchange);
        } else {
            ErrorBody.of(503, "router_stopping", "the router is starting", "retry at once at the next address")
                    .send(exchange);
        }
    }

    private EntryRouter createEntryRouter() {
        long seed = startMillis ^ settings.id().hashCode();
        BlackboardRequestEnvironment environment = new BlackboardRequestEnvironment(
                settings.id(),
                blackboard,
                new PowerOfTwoChoicesSelector(
                        settings.zone(),
                        () -> blackboard.read(OwnerMap.TOPIC),
                        () -> blackboard.read(MembershipView.TOPIC),
                        seed),
                new RetryBudget(seed),
                timeline,
                requestInvariants,
                System::nanoTime);
        EntryContext context = new EntryContext(
                environment, backendClient, serverControlClient, frameRouter, recordService, metrics, System::nanoTime);
        return new EntryRouter(context, startMillis, settings.limits().maxRequests(), this::refusalReason);
    }

    private Optional<String> refusalReason() {
        if (blackboard.read(ConfigurationTopic.IN_FORCE).version() == 0) {
            return Optional.of("no configuration is in force yet");
        }
        ShutdownState.Phase phase = blackboard.read(ShutdownState.TOPIC).phase();
        return phase.compareTo(ShutdownState.Phase.DRAINING) >= 0
                ? Optional.of("it is shutting down and accepts no new requests")
                : Optional.empty();
    }

    private void sendHandover(ServerName server, RouterId newOwner, long fencingNumber) {
        ownerRouter.createHandover(server, fencingNumber, frame -> frameRouter.send(newOwner, frame));
    }

    private ControlPlane createControlPlane() {
        ControlPorts ports = new ControlPorts(
                platform.table(),
                platform.objects(),
                platform.vms(),
                new JsonConfigurationCodec(),
                configurationExchange,
                this::sendHandover,
                timeline);
        return new ControlPlane(
                ports,
                controlThread.timer(),
                blackboard,
                new SplittableRandom(startMillis ^ settings.id().hashCode()),
                createControlSettings());
    }

    private ControlSettings createControlSettings() {
        RouterSettings.Timing timing = settings.timing();
        MembershipSettings membership = MembershipSettings.standard(
                settings.id(), settings.zone(), settings.region(), callerAddress, peerAddress, startMillis);
        StoreWatcherSettings watcher = StoreWatcherSettings.standard();
        return new ControlSettings(
                new MembershipSettings(
                        membership.id(),
                        membership.zone(),
                        membership.region(),
                        membership.callerAddress(),
                        membership.peerAddress(),
                        membership.firstIncarnation(),
                        timing.leaseTimeToLive(),
                        timing.leaseRenewPeriod(),
                        membership.safetyMargin(),
                        membership.maxPollAgeForRenewal(),
                        membership.grantTimeout()),
                new StoreWatcherSettings(
                        watcher.prefixes(),
                        timing.pollPeriod(),
                        watcher.maxBackoff(),
                        watcher.outageTimeout(),
                        watcher.settlingTime()),
                AdmissionPermitSettings.standard(),
                OwnershipSettings.standard(),
                ConfigurationSettings.standard());
    }

    private ApiRoutes createApiRoutes() {
        return new ApiRoutes(
                new BearerKeys<>(Map.of("operator", settings.operatorKeyDigests())),
                new OperatorCommands(controlThread, controlPlane, blackboard),
                new ApiRoutes.Sources(
                        this::notReadyReason,
                        new AddressList(
                                blackboard, settings.zone(), settings.timing().addressKeepTime()),
                        metrics::prometheusText,
                        metrics::toJson,
                        (from, limit) -> timeline.read(from, limit).stream()
                                .map(line -> TimelineJsonUtils.write(line) + "\n")
                                .collect(Collectors.joining())),
                entryRouter);
    }

    private ShutdownSettings createShutdownSettings() {
        ShutdownSettings standard = ShutdownSettings.standard();
        return new ShutdownSettings(
                settings.timing().addressKeepTime(),
                settings.timing().pollPeriod().multipliedBy(11).dividedBy(10),
                standard.handoverTimeout(),
                standard.checkPeriod());
    }

    private HttpLimits createHttpLimits() {
        HttpLimits defaults = HttpLimits.defaults();
        return new HttpLimits(
                defaults.maxLineBytes(),
                settings.limits().maxHeaderBytes(),
                settings.limits().maxBodyBytes(),
                settings.limits().maxConnections(),
                defaults.maxPipelined(),
                defaults.requestTimeout(),
                defaults.idleTimeout());
    }

    private void startControl() {
        TimerService timer = controlThread.timer();
        controlPlane = createControlPlane();
        controlPlane.checkInvariants(monitor);
        shutdown = new ShutdownController(
                controlPlane,
                () -> entryRouter.requestsInProgress() + ownerRouter.waitingRequests(),
                timer,
                blackboard,
                timeline,
                createShutdownSettings());
        apiRoutes = createApiRoutes();
        configurationExchange.setController(controlPlane.configuration());
        blackboard.cell(ConfigurationTopic.IN_FORCE).subscribe(this::configurationChanged);
        blackboard.cell(OwnedServers.TOPIC).subscribe(ownerRouter::setOwnedServers);
        blackboard.cell(ServiceTotals.TOPIC).subscribe(ownerRouter::setTotals);
        blackboard.cell(OwnerMap.TOPIC).subscribe(this::ownersChanged);
        recordService.start();
        totalsExchange.start();
        controlPlane.start();
        timer.schedulePeriodic(
                "load",
                settings.timing().loadPollPeriod(),
                new LoadPoller(blackboard, serverControlClient, ownerRouter)::poll);
        timer.schedulePeriodic("progress", PROGRESS_PERIOD, entryRouter::flushProgress);
        readyCheck = timer.schedulePeriodic("ready", READY_CHECK_PERIOD, this::checkReady);
    }

    private void configurationChanged(FleetConfiguration configuration) {
        ownerRouter.setConfiguration(configuration);
        configurationExchange.announce(configuration);
    }

    private Collection<RouterId> activeRoutersOfRegion() {
        return blackboard.read(MembershipView.TOPIC).members().values().stream()
                .filter(member -> member.region().equals(settings.region()) && !member.leaving())
                .map(Member::id)
                .toList();
    }

    /** Notifies the request flows of each server whose owner changed, so that they report to the new owner. */
    private void ownersChanged(OwnerMap changed) {
        changed.owners().forEach((server, current) -> {
            OwnerMap.Owner previous = lastOwners.get(server);
            if (previous != null && !previous.equals(current)) {
                entryRouter.serverOwnerChanged(server, current.router());
            }
            lastOwners.put(server, current);
        });
    }

    private void handleControlFrame(RouterId from, Frame frame) {
        // These components are confined to the control thread. Frames of unknown types are ignored.
        controlThread.execute(() -> {
            switch (frame.getBodyCase()) {
                case CONFIGURATION_NOTICE -> configurationExchange.receive(from, frame.getConfigurationNotice());
                case RECORD_BATCH -> recordService.receive(from, frame.getRecordBatch());
                case RECORD_BATCH_REPLY -> recordService.receive(from, frame.getRecordBatchReply());
                default -> totalsExchange.receive(from, frame);
            }
        });
    }

    private void checkReady() {
        if (!ready.isDone() && notReadyReason().isEmpty()) {
            timeline.record(TimelineEvent.of(EventKind.ROUTER_READY, "router", settings.id()));
            readyCheck.cancel();
            ready.complete(null);
        }
    }

    private Optional<String> notReadyReason() {
        if (stopping) {
            return Optional.of("stopping");
        }
        if (blackboard.read(ConfigurationTopic.IN_FORCE).version() == 0) {
            return Optional.of("starting");
        }
        return blackboard.read(AdmissionPermit.TOPIC).allows(System.nanoTime())
                ? Optional.empty()
                : Optional.of("cut_off");
    }

    private void recordPeerContact() {
        long now = System.nanoTime();
        long last = lastPeerContactNanos.get();
        if (now - last > CONTACT_UPDATE_INTERVAL_NANOS && lastPeerContactNanos.compareAndSet(last, now)) {
            blackboard.write(PeerConnectivity.TOPIC, new PeerConnectivity(now));
        }
    }

    private void shutdownCompleted() {
        requestInvariants.gracefulShutdown().checkNoOpenRequests();
        var unused = frontEnd.drain().thenRun(this::close);
    }

    private void close() {
        controlThread.stop();
        ownerRouter.close();
        network.close();
        backendClient.close();
        platform.close().run();
        var unused = ChannelUtils.shutDown(eventLoops).thenRun(() -> stopped.complete(null));
    }
}
