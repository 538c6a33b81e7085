package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.admission.AdmissionPolicy;
import org.coltsfootquay.decision.admission.DemandTracker;
import org.coltsfootquay.decision.admission.FairSharePolicy;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.backend.BackendRegistry;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.hedge.HedgePolicy;
import org.coltsfootquay.decision.hedge.HedgingSettings;
import org.coltsfootquay.decision.latency.EngineLatencyModel;
import org.coltsfootquay.decision.latency.FirstEventObservation;
import org.coltsfootquay.decision.latency.PrefillBacklog;
import org.coltsfootquay.decision.limit.ColdStartLimiter;
import org.coltsfootquay.decision.memory.ByteBudget;
import org.coltsfootquay.decision.notice.PauseParser;
import org.coltsfootquay.decision.notice.ServerNotices;
import org.coltsfootquay.decision.peer.PeerTable;
import org.coltsfootquay.decision.quarantine.PartQuarantine;
import org.coltsfootquay.decision.retry.FleetRetryShare;
import org.coltsfootquay.decision.rollout.RolloutController;
import org.coltsfootquay.decision.route.RoutingConfiguration;
import org.coltsfootquay.decision.route.ServicePolicy;
import org.coltsfootquay.decision.selection.EligibleServerSelector;
import org.coltsfootquay.decision.selection.LeastLoadedSelector;
import org.coltsfootquay.decision.selection.LoadTracker;
import org.coltsfootquay.decision.selection.PlacementSettings;
import org.coltsfootquay.decision.selection.Prompt;
import org.coltsfootquay.decision.selection.PromptCacheView;
import org.coltsfootquay.decision.selection.PromptLocalitySelector;
import org.coltsfootquay.decision.selection.ServerHealth;
import org.coltsfootquay.decision.selection.ServerSelector;
import org.coltsfootquay.decision.shutdown.StopWindow;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.metrics.RouterMetrics;

/** State shared by all requests of a router; used on one event loop. */
public final class ForwardingContext {

    private static final double MILLIS_PER_SECOND = 1000;

    /** Interval of the search for prompts whose first event is overdue; a fraction of the shortest targets. */
    private static final Duration OVERDUE_CHECK_INTERVAL = Duration.ofMillis(50);

    /** Interval at which the latency estimates of engines without observations approach those of their service. */
    private static final Duration IDLE_ENGINE_INTERVAL = Duration.ofSeconds(1);

    /** Interval of the removal of notices; a fraction of the time for which they are retained. */
    private static final Duration NOTICE_REMOVAL_INTERVAL = Duration.ofSeconds(5);

    private final ZoneName zone;
    private final TimerService timers;
    private final RequestDialect dialect;
    private final ServerConnectionPool connectionPool;
    private final PeerTable peers;
    private final RouterMetrics metrics;
    private final EventLoopLag eventLoopLag;
    private final BackendRegistry registry = new BackendRegistry();
    private final LoadTracker loads = new LoadTracker();
    private final PromptCacheView promptCaches = new PromptCacheView();
    private final ServerHealth health = new ServerHealth();
    private final ServerNotices notices = new ServerNotices();
    private final NoticeRecorder noticeRecorder;
    private final EngineLatencyModel latencyModel = new EngineLatencyModel();
    private final PrefillBacklog prefillBacklog = new PrefillBacklog(latencyModel);
    private final Map<ServerName, FirstEventObservation> newObservations = new HashMap<>();
    private final DemandTracker demands;
    private final WaitingRequests waiting;
    private final AdmissionPolicy admission = new FairSharePolicy();
    private final List<PromptCacheUpdate> newCacheUpdates = new ArrayList<>();
    private final FleetRetryShare retryShare;
    private final EligibleServerSelector eligibleServerSelector;
    private final Map<ServiceName, ServerSelector> selectorsByService = new HashMap<>();
    private final List<Runnable> startupTasks = new ArrayList<>();
    private final Set<Reservation> awaitingFirstEvent = new LinkedHashSet<>();
    private final MemoryLimits memoryLimits;
    private final ByteBudget responseBudget;
    private final ByteBudget requestBudget;
    private final PartQuarantine quarantine;
    private final ProbeQueue probeQueue;
    private final CrashDetector crashDetector;
    private final ResponseRecorder responseRecorder;
    private Optional<RolloutController> rollouts = Optional.empty();
    private final RandomGenerator random = new SplittableRandom();
    private PlacementSettings placement = PlacementSettings.DEFAULT;
    private Optional<HedgePolicy> hedging = Optional.empty();
    private Runnable promptSentListener = () -> {};
    private Runnable quarantineNewsListener = () -> {};
    private StateFreshness freshness = StateFreshness.UNKNOWN;
    private RoutingConfiguration configuration;
    private boolean registrationsLoaded;
    private Optional<StopWindow> stopWindow = Optional.empty();

    /**
     * Creates the state of a router without a configuration.
     *
     * @param self this router
     * @param zone zone of this router
     * @param timers timer service of the event loop
     * @param dialect header mapping of the platform
     * @param connectionPool pool of connections to servers
     * @param peers other routers
     * @param limits limits that apply to all routers together
     * @param maxServerPause longest pause that a server may ask for
     * @param memoryLimits limits of the memory for messages
     * @param metrics metrics
     */
    public ForwardingContext(
            RouterId self,
            ZoneName zone,
            TimerService timers,
            RequestDialect dialect,
            ServerConnectionPool connectionPool,
            PeerTable peers,
            FleetLimits limits,
            Duration maxServerPause,
            MemoryLimits memoryLimits,
            RouterMetrics metrics) {
        this.zone = zone;
        this.timers = timers;
        this.dialect = dialect;
        this.connectionPool = connectionPool;
        this.peers = peers;
        this.metrics = metrics;
        this.eventLoopLag = new EventLoopLag(timers);
        this.memoryLimits = memoryLimits;
        this.responseBudget = new ByteBudget(memoryLimits.responseBytes());
        this.requestBudget = new ByteBudget(memoryLimits.requestBytes());
        metrics.gauge("coltsfootquay_response_bytes", responseBudget::usedBytes);
        metrics.gauge("coltsfootquay_request_bytes", requestBudget::usedBytes);
        this.demands = new DemandTracker(timers.nowNanos());
        this.waiting = new WaitingRequests(timers, demands, registry, eventLoopLag, metrics, new SplittableRandom());
        timers.schedulePeriodic("overdue prompts", OVERDUE_CHECK_INTERVAL, this::updateOverduePrompts);
        timers.schedulePeriodic("idle engines", IDLE_ENGINE_INTERVAL, latencyModel::forgetIdleEngines);
        timers.schedulePeriodic(
                "notice removal",
                NOTICE_REMOVAL_INTERVAL,
                () -> notices.removeUnregistered(registry.servers(), timers.nowNanos()));
        this.noticeRecorder =
                new NoticeRecorder(notices, new PauseParser(maxServerPause), connectionPool, metrics, timers);
        this.retryShare = new FleetRetryShare(limits.retryRatio(), limits.retryAllowance(), limits.retryWindow());
        this.quarantine = new PartQuarantine(
                new QuarantineLog(metrics, () -> quarantineNewsListener.run()),
                () -> peers.members().size(),
                new SplittableRandom());
        metrics.gauge("coltsfootquay_quarantined_parts", quarantine::size);
        metrics.gauge("coltsfootquay_exposure_limited_parts", quarantine::exposureLimitedParts);
        this.probeQueue = new ProbeQueue(timers);
        metrics.gauge("coltsfootquay_requests_waiting_for_probes", probeQueue::size);
        this.crashDetector = new CrashDetector(connectionPool, health, quarantine, timers, metrics);
        this.eligibleServerSelector = new EligibleServerSelector(
                registry, health, notices, new ColdStartLimiter(self), limits.coldOvershoot(), limits.coldSlack());
        this.responseRecorder = new ResponseRecorder(this);
    }

    /**
     * Lets roll-outs decide which versions of servers may get requests.
     *
     * @param controller roll-outs
     */
    public void enableRollouts(RolloutController controller) {
        rollouts = Optional.of(controller);
        eligibleServerSelector.setVersionPolicy(controller);
    }

    /**
     * Returns the roll-outs of services.
     *
     * @return roll-outs, empty on platforms without them
     */
    public Optional<RolloutController> rollouts() {
        return rollouts;
    }

    /**
     * Lets late requests be sent to a second server.
     *
     * @param settings limits
     */
    public void enableHedging(HedgingSettings settings) {
        hedging = Optional.of(new HedgePolicy(settings));
    }

    /** Returns the policy of hedged requests, empty if there are none. */
    Optional<HedgePolicy> hedging() {
        return hedging;
    }

    ResponseRecorder responseRecorder() {
        return responseRecorder;
    }

    /**
     * Sets the source of the freshness of the state by which requests are routed.
     *
     * @param freshness freshness
     */
    public void setFreshness(StateFreshness freshness) {
        this.freshness = ArgumentUtils.requireValue(freshness, "freshness");
    }

    StateFreshness freshness() {
        return freshness;
    }

    /** Returns the budget of the bytes that the router holds for the bodies of requests. */
    ByteBudget requestBudget() {
        return requestBudget;
    }

    /** Returns the budget of the bytes that the router holds for responses. */
    ByteBudget responseBudget() {
        return responseBudget;
    }

    /**
     * Returns the view of the shared prompt parts in the prompt caches of servers.
     *
     * @return view
     */
    public PromptCacheView promptCaches() {
        return promptCaches;
    }

    /** Records that the registrations of servers were read; runs waiting tasks if a configuration is loaded too. */
    public void registrationsLoaded() {
        registrationsLoaded = true;
        runStartupTasks();
    }

    /**
     * Returns whether a configuration and the registrations of servers are loaded.
     *
     * @return true if requests can be forwarded
     */
    public boolean isReady() {
        return registrationsLoaded && configuration != null;
    }

    /**
     * Runs a task once, as soon as requests can be forwarded or when a time limit expires.
     *
     * @param limit maximum time to wait
     * @param task task
     */
    void runWhenReady(Duration limit, Runnable task) {
        Runnable once = new Runnable() {
            private boolean done;

            @Override
            public void run() {
                if (!done) {
                    done = true;
                    task.run();
                }
            }
        };
        startupTasks.add(once);
        var unused = timers.scheduleOnce("startup wait", limit, once);
    }

    private void runStartupTasks() {
        if (isReady()) {
            List<Runnable> tasks = List.copyOf(startupTasks);
            startupTasks.clear();
            tasks.forEach(Runnable::run);
        }
    }

    /**
     * Returns the current configuration.
     *
     * @return configuration, empty until one is loaded
     */
    public Optional<RoutingConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    /**
     * Applies a configuration if it is newer than the current one.
     *
     * @param next configuration
     * @return false if it is not newer than the current one
     */
    public boolean applyConfiguration(RoutingConfiguration next) {
        if (configuration != null && next.version() <= configuration.version()) {
            return false;
        }
        configuration = next;
        selectorsByService.clear();
        runStartupTasks();
        return true;
    }

    /**
     * Returns the registry of servers.
     *
     * @return registry
     */
    public BackendRegistry registry() {
        return registry;
    }

    /**
     * Returns the loads of servers.
     *
     * @return loads
     */
    public LoadTracker loads() {
        return loads;
    }

    /**
     * Returns the other routers.
     *
     * @return peers
     */
    public PeerTable peers() {
        return peers;
    }

    /**
     * Returns the metrics.
     *
     * @return metrics
     */
    public RouterMetrics metrics() {
        return metrics;
    }

    /**
     * Discards the cache view and health of a server that was removed or restarted, and closes its idle connections.
     *
     * @param server server
     */
    public void discardServerState(ServerName server) {
        promptCaches.removeServer(server);
        latencyModel.removeServer(server);
        prefillBacklog.removeServer(server);
        metrics.removeGauge(prefillRateGauge(server));
        health.removeServer(server);
        connectionPool.closeIdle(server);
    }

    /**
     * Prepares the state of a server that is registered.
     *
     * @param entry entry of the server
     */
    public void serverRegistered(BackendEntry entry) {
        latencyModel.assign(entry.server(), entry.service());
    }

    private static String prefillRateGauge(ServerName server) {
        return "coltsfootquay_engine_prefill_tokens_per_second{server=\"" + server + "\"}";
    }

    /**
     * Returns the estimated latencies of model engines.
     *
     * @return model
     */
    public EngineLatencyModel latencyModel() {
        return latencyModel;
    }

    /**
     * Returns the prompt tokens that wait for prefill at engines.
     *
     * @return backlog
     */
    public PrefillBacklog prefillBacklog() {
        return prefillBacklog;
    }

    /**
     * Returns and clears the latest observation of each engine by this router since the last call.
     *
     * @return observations by engine
     */
    public Map<ServerName, FirstEventObservation> takeObservations() {
        Map<ServerName, FirstEventObservation> taken = Map.copyOf(newObservations);
        newObservations.clear();
        return taken;
    }

    /** Registers the reservation of a request that awaits its first event until the given time. */
    void awaitFirstEvent(Reservation reservation, long expectedNanos) {
        reservation.expectFirstEventBy(expectedNanos);
        awaitingFirstEvent.add(reservation);
    }

    private void updateOverduePrompts() {
        awaitingFirstEvent.removeIf(reservation -> !reservation.updateOverdue(timers.nowNanos()));
    }

    /**
     * Returns the requests that wait for a server.
     *
     * @return requests
     */
    public WaitingRequests waiting() {
        return waiting;
    }

    /** Records the time to the first event of a request of this router. */
    void recordFirstEvent(FirstEventObservation observation) {
        waiting.roomChanged();
        latencyModel.record(observation);
        ServerName server = observation.server();
        newObservations.put(server, observation);
        metrics.gauge(
                prefillRateGauge(server), () -> Math.round(MILLIS_PER_SECOND / latencyModel.millisPerToken(server)));
    }

    /**
     * Returns the demands of workspaces.
     *
     * @return demands
     */
    public DemandTracker demands() {
        return demands;
    }

    /**
     * Records that shared prompt parts were sent to a server, which is expected to cache them.
     *
     * @param update shared prompt parts and server
     */
    public void recordPromptCacheUpdate(PromptCacheUpdate update) {
        promptCaches.recordRead(
                update.server(), update.sharedPartsHash(), update.tokens(), cacheCapacityTokens(update.server()));
    }

    /**
     * Returns and clears the prompt cache updates by this router since the last call.
     *
     * @return updates in order
     */
    public List<PromptCacheUpdate> takePromptCacheUpdates() {
        List<PromptCacheUpdate> taken = List.copyOf(newCacheUpdates);
        newCacheUpdates.clear();
        return taken;
    }

    /**
     * Sets a listener that is called whenever this router has sent a prompt.
     *
     * @param listener listener
     */
    public void setPromptSentListener(Runnable listener) {
        promptSentListener = ArgumentUtils.requireValue(listener, "listener");
    }

    /** Records that this router sends a prompt to a server. */
    void promptSent(ServerName server, Prompt prompt, long prefillTokens) {
        prefillBacklog.addLocal(server, prefillTokens, timers.nowNanos());
        if (prompt.sharedTokens() > 0) {
            PromptCacheUpdate update = new PromptCacheUpdate(server, prompt.sharedPartsHash(), prompt.sharedTokens());
            recordPromptCacheUpdate(update);
            newCacheUpdates.add(update);
        }
        if (prefillTokens > 0) {
            promptSentListener.run();
        }
    }

    /**
     * Sets a listener that is called whenever other routers should be told of crashes without delay.
     *
     * @param listener listener
     */
    public void setQuarantineNewsListener(Runnable listener) {
        quarantineNewsListener = ArgumentUtils.requireValue(listener, "listener");
    }

    /**
     * Returns the quarantine of prompt parts that crash servers.
     *
     * @return quarantine
     */
    public PartQuarantine quarantine() {
        return quarantine;
    }

    /** Returns the requests that wait because their prompts have suspected parts. */
    ProbeQueue probeQueue() {
        return probeQueue;
    }

    CrashDetector crashDetector() {
        return crashDetector;
    }

    /** Sets the time at which requests in progress are ended, because the router stops. */
    void stopAt(StopWindow window) {
        stopWindow = Optional.of(window);
    }

    /** Returns the time that is left for requests, empty unless the router stops. */
    Optional<StopWindow> stopWindow() {
        return stopWindow;
    }

    AdmissionPolicy admission() {
        return admission;
    }

    private long cacheCapacityTokens(ServerName server) {
        return registry.eligible(server, timers.nowNanos())
                .flatMap(entry -> configuration().flatMap(current -> current.service(entry.service())))
                .map(ServicePolicy::cacheTokens)
                .orElse(0L);
    }

    ServerHealth health() {
        return health;
    }

    ServerNotices notices() {
        return notices;
    }

    NoticeRecorder noticeRecorder() {
        return noticeRecorder;
    }

    FleetRetryShare retryShare() {
        return retryShare;
    }

    EligibleServerSelector eligibleServerSelector() {
        return eligibleServerSelector;
    }

    /**
     * Returns the mean delay of the event loop in the last fractions of a second.
     *
     * @return delay
     */
    public Duration eventLoopDelay() {
        return eventLoopLag.meanDelay();
    }

    /**
     * Returns the bytes held for messages as a share of their budget.
     *
     * @return share of the budget that is fuller, 0 to 1
     */
    public double heldBytesShare() {
        return Math.max(
                (double) requestBudget.usedBytes() / memoryLimits.requestBytes(),
                (double) responseBudget.usedBytes() / memoryLimits.responseBytes());
    }

    EventLoopLag eventLoopLag() {
        return eventLoopLag;
    }

    TimerService timers() {
        return timers;
    }

    RequestDialect dialect() {
        return dialect;
    }

    ServerConnectionPool connectionPool() {
        return connectionPool;
    }

    /**
     * Sets how model engines are chosen; to be called before the first request.
     *
     * @param settings settings
     */
    public void setPlacement(PlacementSettings settings) {
        placement = ArgumentUtils.requireValue(settings, "settings");
    }

    /** Returns the selector that chooses among the servers of a service. */
    ServerSelector selector(ServicePolicy service) {
        return selectorsByService.computeIfAbsent(
                service.name(),
                name -> service.cacheTokens() > 0
                        ? new PromptLocalitySelector(
                                zone,
                                loads,
                                promptCaches,
                                health,
                                latencyModel,
                                prefillBacklog,
                                service.cacheTokens(),
                                placement.sampler(() -> peers.members().size(), random))
                        : new LeastLoadedSelector(zone, loads, health, random));
    }
}
