package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.coltsfootquay.decision.admission.AdmissionPolicy;
import org.coltsfootquay.decision.admission.DemandTracker;
import org.coltsfootquay.decision.admission.FairSharePolicy;
import org.coltsfootquay.decision.backend.BackendRegistry;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.limit.ColdStartLimiter;
import org.coltsfootquay.decision.peer.PeerTable;
import org.coltsfootquay.decision.retry.FleetRetryShare;
import org.coltsfootquay.decision.route.RoutingConfiguration;
import org.coltsfootquay.decision.route.ServicePolicy;
import org.coltsfootquay.decision.selection.EligibleServerSelector;
import org.coltsfootquay.decision.selection.LeastLoadedSelector;
import org.coltsfootquay.decision.selection.LoadTracker;
import org.coltsfootquay.decision.selection.Prompt;
import org.coltsfootquay.decision.selection.PromptCacheView;
import org.coltsfootquay.decision.selection.PromptLocalitySelector;
import org.coltsfootquay.decision.selection.ServerHealth;
import org.coltsfootquay.decision.selection.ServerSelector;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.metrics.RouterMetrics;

/** State that all requests of a router share; used on one event loop. */
public final class ForwardingContext {

    private final ZoneName zone;
    private final TimerService timers;
    private final RequestDialect dialect;
    private final ServerConnectionPool connections;
    private final PeerTable peers;
    private final RouterMetrics metrics;
    private final EventLoopLag eventLoopLag;
    private final BackendRegistry registry = new BackendRegistry();
    private final LoadTracker loads = new LoadTracker();
    private final PromptCacheView promptCaches = new PromptCacheView();
    private final ServerHealth health = new ServerHealth();
    private final DemandTracker demands;
    private final AdmissionPolicy admission = new FairSharePolicy();
    private final List<PromptCacheUpdate> newReads = new ArrayList<>();
    private final FleetRetryShare retries;
    private final EligibleServerSelector chooser;
    private final Map<ServiceName, ServerSelector> selectors = new HashMap<>();
    private final List<Runnable> waitingForState = new ArrayList<>();
    private RoutingConfiguration configuration;
    private boolean registrationsLoaded;

    /**
     * Creates the state of a router without a configuration.
     *
     * @param self this router
     * @param zone zone of this router
     * @param timers timer service of the event loop
     * @param dialect names of headers
     * @param connections connections to servers
     * @param peers other routers
     * @param bounds bounds that all routers share
     * @param metrics metrics
     */
    public ForwardingContext(
            RouterId self,
            ZoneName zone,
            TimerService timers,
            RequestDialect dialect,
            ServerConnectionPool connections,
            PeerTable peers,
            FleetLimits bounds,
            RouterMetrics metrics) {
        this.zone = zone;
        this.timers = timers;
        this.dialect = dialect;
        this.connections = connections;
        this.peers = peers;
        this.metrics = metrics;
        this.eventLoopLag = new EventLoopLag(timers);
        this.demands = new DemandTracker(timers.nowNanos());
        this.retries = new FleetRetryShare(bounds.retryRatio(), bounds.retryAllowance(), bounds.retryWindow());
        this.chooser = new EligibleServerSelector(
                registry, health, new ColdStartLimiter(self), bounds.coldOvershoot(), bounds.coldSlack());
    }

    /**
     * Returns the shared prompt parts that servers keep.
     *
     * @return view
     */
    public PromptCacheView promptCaches() {
        return promptCaches;
    }

    /** Notes that the registrations of servers were read for the first time. */
    public void registrationsLoaded() {
        registrationsLoaded = true;
        runWhenKnown();
    }

    /**
     * Tells whether a configuration and the registrations of servers are known.
     *
     * @return true if requests can be forwarded
     */
    public boolean isReady() {
        return registrationsLoaded && configuration != null;
    }

    /**
     * Runs a task as soon as requests can be forwarded, or after a time at the latest.
     *
     * @param limit longest time to wait
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
        waitingForState.add(once);
        var unused = timers.scheduleOnce("state known", limit, once);
    }

    private void runWhenKnown() {
        if (isReady()) {
            List<Runnable> tasks = List.copyOf(waitingForState);
            waitingForState.clear();
            tasks.forEach(Runnable::run);
        }
    }

    /**
     * Returns the configuration in force.
     *
     * @return configuration, empty until one is known
     */
    public Optional<RoutingConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    /**
     * Puts a configuration in force.
     *
     * @param next configuration
     * @return false if it is not newer than the one in force
     */
    public boolean applyConfiguration(RoutingConfiguration next) {
        if (configuration != null && next.version() <= configuration.version()) {
            return false;
        }
        configuration = next;
        selectors.clear();
        runWhenKnown();
        return true;
    }

    /**
     * Returns the registered servers.
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
     * Forgets what was learned about a server that is gone or has started again.
     *
     * @param server server
     */
    public void forgetServer(ServerName server) {
        promptCaches.removeServer(server);
        health.removeServer(server);
        connections.closeIdle(server);
    }

    /**
     * Returns the demand of workspaces.
     *
     * @return demands
     */
    public DemandTracker demands() {
        return demands;
    }

    /**
     * Notes that a server was given shared prompt parts to read.
     *
     * @param read what is read
     */
    public void recordPromptCacheUpdate(PromptCacheUpdate read) {
        promptCaches.recordRead(read.server(), read.sharedKey(), read.tokens(), memoryTokens(read.server()));
    }

    /**
     * Returns what servers were given to read by this router since the last call.
     *
     * @return reads
     */
    public List<PromptCacheUpdate> takePromptCacheUpdates() {
        List<PromptCacheUpdate> taken = List.copyOf(newReads);
        newReads.clear();
        return taken;
    }

    /** Notes that this router gives a server a prompt to read. */
    void promptSent(ServerName server, Prompt prompt) {
        if (prompt.sharedTokens() > 0) {
            PromptCacheUpdate read = new PromptCacheUpdate(server, prompt.sharedPartsHash(), prompt.sharedTokens());
            recordPromptCacheUpdate(read);
            newReads.add(read);
        }
    }

    AdmissionPolicy admission() {
        return admission;
    }

    private long memoryTokens(ServerName server) {
        return registry.eligible(server, timers.nowNanos())
                .flatMap(entry -> configuration().flatMap(current -> current.service(entry.service())))
                .map(ServicePolicy::cacheTokens)
                .orElse(0L);
    }

    ServerHealth health() {
        return health;
    }

    FleetRetryShare retries() {
        return retries;
    }

    EligibleServerSelector chooser() {
        return chooser;
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

    ServerConnectionPool connections() {
        return connections;
    }

    /** Returns the rule that picks a server of a service. */
    ServerSelector selector(ServicePolicy service) {
        return selectors.computeIfAbsent(
                service.name(),
                name -> service.cacheTokens() > 0
                        ? new PromptLocalitySelector(zone, loads, promptCaches, health, service.cacheTokens())
                        : new LeastLoadedSelector(zone, loads, health, ThreadLocalRandom.current()));
    }
}
