package org.coltsfootquay.router.node;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.decision.peer.PeerTable;
import org.coltsfootquay.decision.peer.UseReport;
import org.coltsfootquay.decision.spread.CallerDirectory;
import org.coltsfootquay.decision.spread.EarlyRejection;
import org.coltsfootquay.decision.spread.ResourceReading;
import org.coltsfootquay.decision.spread.RouterWeights;
import org.coltsfootquay.decision.spread.SpreadSettings;
import org.coltsfootquay.decision.spread.UseMeter;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.forward.CallerAdmission;
import org.coltsfootquay.router.forward.ForwardingContext;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.metrics.RouterMetrics;

/**
 * Measures the use of this router's resources, and applies it to the callers: which addresses they are given, and when
 * they are turned away. Runs on the event loop.
 */
final class RouterCapacity implements CallerAdmission {

    private static final EventLog LOG = EventLog.of(RouterCapacity.class);

    private static final Duration READING_INTERVAL = Duration.ofMillis(250);

    /** Mean delay of the event loop at which all callers are turned away; well below that of an overloaded router. */
    private static final Duration MAX_LOOP_DELAY = Duration.ofMillis(200);

    private static final String ROUTER_FULL = "router_full";

    private final PeerRouter self;
    private final SpreadSettings settings;
    private final ForwardingContext forwarding;
    private final PeerTable peers;
    private final TimerService timers;
    private final BooleanSupplier ready;
    private final IntSupplier occupiedConnections;
    private final LongSupplier processorNanos;
    private final UseMeter meter;
    private final EarlyRejection rejection = new EarlyRejection();
    private final CallerDirectory directory;
    private long lastProcessorNanos;
    private long lastReadingNanos;
    private boolean rejecting;

    /**
     * Creates an instance that measures nothing until it is started.
     *
     * @param self this router
     * @param settings settings
     * @param forwarding state shared by all requests
     * @param timers timer service of the event loop
     * @param ready whether this router accepts callers
     * @param occupiedConnections returns the number of connections of callers that cannot be closed
     * @param processorNanos returns the processor time that the event loop has used, nanoseconds
     */
    RouterCapacity(
            PeerRouter self,
            SpreadSettings settings,
            ForwardingContext forwarding,
            TimerService timers,
            BooleanSupplier ready,
            IntSupplier occupiedConnections,
            LongSupplier processorNanos) {
        this.self = self;
        this.settings = settings;
        this.forwarding = forwarding;
        this.peers = forwarding.peers();
        this.timers = timers;
        this.ready = ready;
        this.occupiedConnections = occupiedConnections;
        this.processorNanos = processorNanos;
        this.meter = new UseMeter(timers.nowNanos());
        this.directory = new CallerDirectory(peers, settings);
    }

    /** Returns the processor time of the calling thread, or 0 if the platform does not tell. */
    static long processorNanosOfThread() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        return threads.isCurrentThreadCpuTimeSupported() ? threads.getCurrentThreadCpuTime() : 0;
    }

    /** Starts the measurement if any setting asks for it. */
    void start() {
        if (!settings.byUse() && !settings.rejectEarly()) {
            return;
        }
        lastReadingNanos = timers.nowNanos();
        lastProcessorNanos = settings.processorShare() > 0 ? processorNanos.getAsLong() : 0;
        timers.schedulePeriodic("resource reading", READING_INTERVAL, this::read);
        timers.schedulePeriodic("router weights", RouterWeights.INTERVAL, this::adjustWeights);
        RouterMetrics metrics = forwarding.metrics();
        metrics.gauge("coltsfootquay_use_permille", () -> peers.ownUse().permille());
        metrics.gauge(
                "coltsfootquay_caller_requests_per_second", () -> peers.ownUse().requestRate());
        metrics.gauge(
                "coltsfootquay_zone_use_min_permille", () -> zoneUses().min().orElse(0));
        metrics.gauge(
                "coltsfootquay_zone_use_max_permille", () -> zoneUses().max().orElse(0));
        metrics.gauge(
                "coltsfootquay_relieved_routers", () -> directory.weights().relievedCount());
    }

    private IntStream zoneUses() {
        return peers.useReports(ready.getAsBoolean(), timers.nowNanos()).stream()
                .filter(report ->
                        report.zone().equals(self.zone()) && report.use().isKnown())
                .mapToInt(report -> report.use().permille());
    }

    /**
     * Returns the addresses that a caller should use.
     *
     * @param callerHost IP address of the caller
     * @param callerZone zone of the caller, or null if unknown
     * @param limit maximum number of addresses
     * @return addresses; empty if no router accepts callers
     */
    List<String> addressesFor(String callerHost, ZoneName callerZone, int limit) {
        List<String> addresses =
                directory.addressesFor(callerHost, callerZone, ready.getAsBoolean(), timers.nowNanos(), limit);
        forwarding.metrics().count("coltsfootquay_address_responses_total");
        forwarding.metrics().counter("coltsfootquay_addresses_named_total").inc(addresses.size());
        return addresses;
    }

    private void read() {
        long now = timers.nowNanos();
        ResourceReading reading = new ResourceReading(
                processorUse(now),
                (double) forwarding.eventLoopDelay().toNanos() / MAX_LOOP_DELAY.toNanos(),
                (double) occupiedConnections.getAsInt() / maxConnections(),
                forwarding.heldBytesShare());
        meter.record(reading, now);
        peers.setOwnUse(meter.use());
        if (settings.rejectEarly()) {
            Collection<UseReport> reports = peers.useReports(ready.getAsBoolean(), now);
            rejection.update(reading.pressure(), self.id(), self.zone(), reports);
            logRejection(reading);
        }
    }

    /** Returns the processor time since the previous reading as a share of what the platform grants. */
    private double processorUse(long now) {
        if (settings.processorShare() == 0) {
            return 0;
        }
        long used = processorNanos.getAsLong();
        double share = (used - lastProcessorNanos) / (settings.processorShare() * Math.max(1, now - lastReadingNanos));
        lastProcessorNanos = used;
        lastReadingNanos = now;
        return share;
    }

    private void logRejection(ResourceReading reading) {
        if (rejection.active() != rejecting) {
            rejecting = rejection.active();
            LOG.info(
                    rejecting ? ROUTER_FULL : "router_has_room",
                    "eventLoop",
                    reading.eventLoop(),
                    "descriptors",
                    reading.descriptors(),
                    "memory",
                    reading.memory(),
                    "processor",
                    reading.processor());
        }
    }

    private void adjustWeights() {
        List<RouterId> changed = directory.adjustWeights(ready.getAsBoolean(), timers.nowNanos());
        if (!changed.isEmpty()) {
            LOG.info(
                    "router_weights_changed",
                    "routers",
                    changed,
                    "relieved",
                    directory.weights().relievedCount(),
                    "zoneUse",
                    Math.round(zoneUses().average().orElse(0)));
        }
    }

    @Override
    public Optional<String> rejectionReason() {
        meter.requestReceived();
        return rejection.rejects() ? Optional.of(ROUTER_FULL) : Optional.empty();
    }

    @Override
    public int maxConnections() {
        return settings.maxCallerConnections().orElse(Integer.MAX_VALUE);
    }
}
