package org.coltsfootquay.router.node;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.decision.peer.PeerTable;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.forward.CallerConnections;
import org.coltsfootquay.router.forward.CallerDrain;
import org.coltsfootquay.router.forward.ForwardingContext;
import org.coltsfootquay.router.forward.ServerConnectionPool;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.metrics.RouterMetrics;
import org.coltsfootquay.router.neighbor.BeaconChannel;
import org.coltsfootquay.router.neighbor.TableCopyExchange;
import org.coltsfootquay.router.state.FreshnessMonitor;
import org.coltsfootquay.router.state.IndirectContact;
import org.coltsfootquay.router.state.StoreReply;
import org.coltsfootquay.router.state.TableStore;
import org.coltsfootquay.router.state.TableWatcher;
import org.coltsfootquay.router.state.WatchedTable;
import org.coltsfootquay.router.status.StatusPage;
import org.coltsfootquay.router.status.StatusRequest;
import org.coltsfootquay.router.status.StatusResponse;
import org.coltsfootquay.router.status.StatusServer;

/**
 * Router process that forwards requests of callers to backend servers and shuts down without breaking any request.
 *
 * <p>All work runs on one event loop, since a VM has one core.
 */
public final class ForwardingNode {

    private static final EventLog LOG = EventLog.of(ForwardingNode.class);

    /** Delay of the update after a dispatched prompt, so that prompts that arrive together share one. */
    private static final Duration PROMPT_COALESCING_TIME = Duration.ofMillis(3);

    /** Maximum number of addresses in one response, a limit of the platform. */
    private static final int MAX_ADDRESSES = 64;

    private static final Duration CLEANUP_PERIOD = Duration.ofSeconds(1);

    private final NodeSettings settings;
    private final EventLoopGroup group;
    private final EventLoop eventLoop;
    private final TimerService timers;
    private final PeerRouter self;
    private final RouterMetrics metrics = new RouterMetrics();
    private final PeerTable peers;
    private final ServerConnectionPool connectionPool;
    private final ForwardingContext forwarding;
    private final CallerConnections callers;
    private final RouterCapacity capacity;
    private final TableStore store;
    private final RouterRegistration registration;
    private final TableWatcher watcher;
    private final FreshnessMonitor freshness;
    private final IndirectContact indirectContact;
    private final WatchDutyMonitor watchDuty;
    private final TableCopyExchange copyExchange;
    private final CacheViewBootstrap cacheBootstrap;
    private final BeaconExchange beaconExchange;
    private final BeaconChannel beaconChannel;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private boolean stopping;
    private boolean watchingRouters;
    private boolean updateScheduled;
    private long lastUpdateNanos;

    /**
     * Creates a router that is not started.
     *
     * @param settings settings of the router
     * @param platform platform on which the router runs
     */
    public ForwardingNode(NodeSettings settings, NodePlatform platform) {
        this.settings = settings;
        long incarnation = new SecureRandom().nextLong();
        this.group = ChannelUtils.eventLoops("router", 1);
        this.eventLoop = group.next();
        this.timers = new EventLoopTimers(eventLoop);
        this.self = new PeerRouter(
                settings.id(), settings.zone(), settings.host(), settings.peerPort(), settings.callerAddress());
        this.peers = new PeerTable(self);
        this.connectionPool =
                new ServerConnectionPool(eventLoop, platform.dialect(), System::nanoTime, settings.responseLimits());
        registerConnectionGauges();
        this.forwarding = new ForwardingContext(
                settings.id(),
                settings.zone(),
                timers,
                platform.dialect(),
                connectionPool,
                peers,
                settings.fleetLimits(),
                settings.maxServerPause(),
                settings.memoryLimits(),
                metrics);
        configureForwarding(platform);
        this.callers = new CallerConnections(eventLoop, forwarding);
        this.capacity = new RouterCapacity(
                self,
                settings.spreadSettings(),
                forwarding,
                timers,
                this::ready,
                callers::occupiedCount,
                RouterCapacity::processorNanosOfThread);
        callers.setAdmission(capacity);
        this.store = platform.store(eventLoop, settings);
        this.registration = new RouterRegistration(
                store,
                timers,
                settings.id(),
                PeerRouterCodec.convert(self).build().toByteArray(),
                this::registrationPosition,
                this::watchRouters);
        this.watcher = new TableWatcher(
                store,
                timers,
                new Random(incarnation),
                new StateApplier(
                        forwarding,
                        platform.decoder(),
                        timers,
                        settings.id(),
                        registration::rowMissing,
                        this::operatorEra),
                () -> peers.members().size());
        this.freshness =
                new FreshnessMonitor(watcher, timers, settings.changeTimes(), peers::positionAmongHeard, metrics);
        metrics.gauge("coltsfootquay_store_era", watcher::storeEra);
        forwarding.setFreshness(freshness);
        this.indirectContact = new IndirectContact(watcher, forwarding.registry(), timers, settings.changeTimes());
        this.watchDuty =
                new WatchDutyMonitor(self, settings.exchange().watchRouters(), peers, timers, indirectContact, metrics);
        this.copyExchange = new TableCopyExchange(eventLoop, watcher, () -> CacheViewBootstrap.snapshot(forwarding));
        this.cacheBootstrap = new CacheViewBootstrap(self.zone(), forwarding, copyExchange, timers);
        this.beaconExchange = new BeaconExchange(
                self,
                incarnation,
                settings.seeds(),
                forwarding,
                watcher,
                copyExchange,
                cacheBootstrap,
                timers,
                this::ready,
                settings.exchange().relayRouters());
        this.beaconChannel = new BeaconChannel(eventLoop, beaconExchange::receive, forwarding.metrics());
    }

    /**
     * Starts the router.
     *
     * @return completes when all sockets listen, or fails with the address that could not be bound
     */
    public CompletableFuture<Void> start() {
        LOG.info("router_starting", "router", settings.id(), "zone", settings.zone(), "host", settings.host());
        List<ChannelFuture> bound = new ArrayList<>();
        InetSocketAddress caller = ChannelUtils.parseAddress(settings.callerAddress());
        bound.add(callers.listen(caller.getHostString(), caller.getPort()));
        bound.add(listen(settings.readyAddress(), Map.of("/v1/ready", request -> readiness())));
        bound.add(listen(settings.directoryAddress(), Map.of("/v1/addresses", this::addresses)));
        bound.add(listen(settings.metricsAddress(), Map.of("/metrics", request -> metricsPage())));
        bound.add(beaconChannel.listen(settings.host(), settings.peerPort()));
        bound.add(copyExchange.listen(settings.host(), settings.peerPort()));
        CompletableFuture<Void> started = new CompletableFuture<>();
        eventLoop.execute(() -> {
            if (!settings.firstStart()) {
                cacheBootstrap.start();
            }
            if (settings.exchange().watchRouters() > 0) {
                shareWatches();
            }
            watcher.start();
            freshness.setCheckedListener(() -> beaconExchange.sendTableStates(beaconChannel::send));
            freshness.start();
            capacity.start();
            registration.start();
            sendBeacon();
            sendUpdate();
            lastUpdateNanos = timers.nowNanos();
            forwarding.setPromptSentListener(this::scheduleUpdate);
            forwarding.setQuarantineNewsListener(this::scheduleUpdate);
            timers.schedulePeriodic("sweep", CLEANUP_PERIOD, this::cleanUp);
        });
        int[] unbound = {bound.size()};
        for (ChannelFuture socket : bound) {
            socket.addListener(result -> {
                if (!result.isSuccess()) {
                    started.completeExceptionally(result.cause());
                } else if (--unbound[0] == 0) {
                    LOG.info("router_started", "router", settings.id());
                    started.complete(null);
                }
            });
        }
        return started;
    }

    /** Leaves the watches to some routers while the fleet is large. */
    private void shareWatches() {
        beaconExchange.setContactListener(watchDuty::contactReported);
        watcher.setDuty(watchDuty::isWatcher);
        watcher.setChangeListener(() -> {
            if (watchDuty.isShared()) {
                beaconExchange.sendTableStates(beaconChannel::send);
            }
        });
        watcher.setLossListener(() -> {
            if (watchDuty.isShared()) {
                beaconExchange.send(beaconChannel::send);
            }
        });
        indirectContact.start(watchDuty::isShared);
    }

    /**
     * Starts a graceful shutdown.
     *
     * @return completes when no request is in progress or the time for the shutdown is over; by then each caller has a
     *     response
     */
    public CompletableFuture<Void> stop() {
        eventLoop.execute(() -> {
            if (stopping) {
                return;
            }
            stopping = true;
            registration.stop();
            LOG.info("router_stopping", "router", settings.id(), "busy", callers.busyCount());
            beaconExchange.send(beaconChannel::send);
            var unused = new CallerDrain(callers, forwarding)
                    .start(settings.stopTime(), settings.addressTime())
                    .thenAccept(this::stopped);
        });
        return stopped;
    }

    private void stopped(String reason) {
        if (!stopped.isDone()) {
            LOG.info("router_stopped", "router", settings.id(), "reason", reason, "busy", callers.busyCount());
            watcher.stop();
            stopped.complete(null);
        }
    }

    private void configureForwarding(NodePlatform platform) {
        settings.waiting().ifPresent(forwarding.waiting()::enable);
        forwarding.setPlacement(settings.placement());
        settings.hedging().ifPresent(forwarding::enableHedging);
        settings.rollouts()
                .ifPresent(rollouts -> platform.rolloutStore(eventLoop, settings)
                        .ifPresent(
                                rolloutStore -> RolloutConnector.connect(forwarding, rollouts, rolloutStore, timers)));
    }

    private void registerConnectionGauges() {
        metrics.gauge("coltsfootquay_unsolicited_responses", connectionPool::unsolicitedCount);
        metrics.gauge("coltsfootquay_unsolicited_servers", connectionPool::unsolicitedServerCount);
    }

    private long operatorEra() {
        return watcher.mirror(WatchedTable.OPERATOR).era();
    }

    private boolean ready() {
        return !stopping && forwarding.isReady();
    }

    private StatusResponse readiness() {
        return ready() ? StatusResponse.ok("text/plain", "") : StatusResponse.unavailable();
    }

    private StatusResponse addresses(StatusRequest request) {
        List<String> addresses = capacity.addressesFor(
                request.callerHost(),
                request.parameter("zone").map(ZoneName::new).orElse(null),
                MAX_ADDRESSES);
        if (addresses.isEmpty()) {
            return StatusResponse.unavailable();
        }
        return StatusResponse.ok("application/json", AddressListResponse.toJson(addresses, settings.addressTime()));
    }

    private StatusResponse metricsPage() {
        return StatusResponse.ok("text/plain; version=0.0.4", metrics.prometheusText());
    }

    private ChannelFuture listen(String address, Map<String, StatusPage> pages) {
        InetSocketAddress socket = ChannelUtils.parseAddress(address);
        return new StatusServer(eventLoop, pages).listen(socket.getHostString(), socket.getPort());
    }

    private int registrationPosition() {
        return peers.positionAmongHeard(watcher.storeEra());
    }

    private void watchRouters() {
        if (!watchingRouters) {
            watchingRouters = true;
            watcher.startRouterTable();
        }
    }

    private void sendBeacon() {
        timers.scheduleOnce("beacon", peers.beaconPeriod(), this::sendBeacon);
        beaconExchange.send(beaconChannel::send);
    }

    /**
     * Sends an update soon. A dispatched prompt keeps its engine busy before the next periodic update, and other
     * routers would send theirs to the same engine meanwhile; a prompt that crashes engines may arrive at another
     * router next.
     */
    private void scheduleUpdate() {
        if (updateScheduled) {
            return;
        }
        updateScheduled = true;
        long earliest = lastUpdateNanos + peers.minUpdateInterval().toNanos();
        Duration delay = Duration.ofNanos(Math.max(PROMPT_COALESCING_TIME.toNanos(), earliest - timers.nowNanos()));
        timers.scheduleOnce("prompt update", delay, () -> {
            updateScheduled = false;
            lastUpdateNanos = timers.nowNanos();
            beaconExchange.sendUpdate(beaconChannel::send);
        });
    }

    private void sendUpdate() {
        Duration period = peers.updatePeriod();
        timers.scheduleOnce("load update", period.isZero() ? CLEANUP_PERIOD : period, this::sendUpdate);
        if (!period.isZero()) {
            beaconExchange.sendUpdate(beaconChannel::send);
        }
    }

    private void cleanUp() {
        for (RouterId expired : peers.expiredRegistrations(timers.nowNanos())) {
            LOG.info("router_row_removed", "router", expired);
            store.deleteRouter(expired.value(), reply -> {
                if (!(reply instanceof StoreReply.Rows)) {
                    LOG.info("router_row_kept", "router", expired);
                }
            });
        }
        callers.closeIdle();
        connectionPool.closeExpired();
    }
}
