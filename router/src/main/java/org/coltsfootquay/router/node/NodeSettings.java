package org.coltsfootquay.router.node;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.freshness.ChangeTimes;
import org.coltsfootquay.decision.hedge.HedgingSettings;
import org.coltsfootquay.decision.rollout.RolloutSettings;
import org.coltsfootquay.decision.selection.PlacementSettings;
import org.coltsfootquay.decision.spread.SpreadSettings;
import org.coltsfootquay.decision.waiting.WaitingLimits;
import org.coltsfootquay.router.forward.FleetLimits;
import org.coltsfootquay.router.forward.MemoryLimits;
import org.coltsfootquay.router.forward.ResponseLimits;
import org.coltsfootquay.settings.SettingsObject;

/**
 * Settings of a router that forwards requests directly to backend servers.
 *
 * @param id identifier, unique in the fleet
 * @param zone availability zone
 * @param host IP address of the VM
 * @param callerAddress IP address and port for callers
 * @param readyAddress IP address and port of the readiness page
 * @param directoryAddress IP address and port of the page with the addresses of routers
 * @param metricsAddress IP address and port of the metrics page
 * @param peerPort UDP and TCP port for other routers
 * @param storeAddress IP address and port of the platform's store
 * @param seeds IP addresses and ports of some routers, which may be outdated; only the host is used
 * @param firstStart true when the whole fleet starts for the first time, so that no server has cached anything
 * @param stopTime maximum duration of a graceful shutdown
 * @param addressTime time for which callers may cache the addresses of routers
 * @param fleetLimits limits that apply to all routers together
 * @param responseLimits limits of the responses of servers
 * @param memoryLimits limits of the memory for messages
 * @param maxServerPause longest pause that a server may ask for
 * @param changeTimes times within which changes must be in force
 * @param spreadSettings settings for the spreading of callers over routers
 * @param exchange settings of the exchange of state with other routers
 * @param waiting bounds of the requests that wait for a server, empty if each is sent or refused at once
 * @param rollouts bounds of roll-outs; empty on platforms without them
 * @param placement settings for the choice of a model engine
 * @param hedging limits of hedged requests; empty if there are none
 */
public record NodeSettings(
        RouterId id,
        ZoneName zone,
        String host,
        String callerAddress,
        String readyAddress,
        String directoryAddress,
        String metricsAddress,
        int peerPort,
        String storeAddress,
        List<String> seeds,
        boolean firstStart,
        Duration stopTime,
        Duration addressTime,
        FleetLimits fleetLimits,
        ResponseLimits responseLimits,
        MemoryLimits memoryLimits,
        Duration maxServerPause,
        ChangeTimes changeTimes,
        SpreadSettings spreadSettings,
        ExchangeSettings exchange,
        Optional<WaitingLimits> waiting,
        Optional<RolloutSettings> rollouts,
        PlacementSettings placement,
        Optional<HedgingSettings> hedging) {

    private static final int MAX_PORT = 65535;

    private static final int MAX_ROUTERS = 100_000;

    /** Maximum number of routers that a caller is given; a limit of the platform. */
    private static final int MAX_SUBSET_SIZE = 64;

    /** Minimum number of descriptors: those for files and some connections. */
    private static final int MIN_DESCRIPTORS = 256;

    private static final int MAX_DESCRIPTORS = 1 << 20;

    /** Bounds of the limits of responses, bytes: a head of usual size, and what fits into the memory of a router. */
    private static final long MIN_RESPONSE_BYTES = 16 << 10;

    private static final long MAX_RESPONSE_BYTES = 64 << 20;

    /** Minimum of the memory for messages; room for some responses of usual size. */
    private static final long MIN_MEMORY_BYTES = 1 << 20;

    /** Maximum of the requests that may wait for one service; the order of more would take too much time. */
    private static final long MAX_WAITING_REQUESTS = 1024;

    /** Time from the stop signal until the process is killed, for a platform that states none. */
    private static final Duration DEFAULT_STOP_TIME = Duration.ofSeconds(8);

    /** Default cache time of addresses; short, since a killed router is detected within a second. */
    private static final Duration DEFAULT_ADDRESS_TIME = Duration.ofSeconds(1);

    /** Retries per request; a common retry budget that keeps a failing server from doubling the load. */
    private static final double DEFAULT_RETRY_RATIO = 0.1;

    /** Retries per window in addition to the ratio, so that a fleet with little traffic can retry at all. */
    private static final double DEFAULT_RETRY_ALLOWANCE = 10;

    /** Default of the longest pause; a server that needs more time is expected to leave. */
    private static final Duration DEFAULT_MAX_SERVER_PAUSE = Duration.ofMinutes(5);

    private static final Duration LONGEST_MAX_SERVER_PAUSE = Duration.ofHours(1);

    /** Minimum of the times within which changes must be in force. */
    private static final Duration MIN_CHANGE_TIME = Duration.ofMillis(500);

    /** Time within which a bad version gets no more requests, for a platform that states none. */
    private static final Duration DEFAULT_ROLLBACK_TIME = Duration.ofSeconds(5);

    private static final Duration DEFAULT_RETRY_WINDOW = Duration.ofSeconds(10);

    /** Factor on the rate that a cold server accepts; 1 makes the stated rate itself the limit. */
    private static final double DEFAULT_COLD_OVERSHOOT = 1;

    /** Makes an immutable copy of the seeds. */
    public NodeSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Reads the settings; errors are recorded in the settings object.
     *
     * @param root root object of the settings file
     * @return settings
     */
    public static NodeSettings read(SettingsObject root) {
        Bounds bounds = root.object("bounds", NodeSettings::readBounds)
                .orElseGet(() -> new Bounds(defaultFleetLimits(), ChangeTimes.DEFAULT, Optional.empty()));
        return new NodeSettings(
                new RouterId(root.name("id")),
                new ZoneName(root.name("zone")),
                root.text("host"),
                root.address("callerAddress"),
                root.address("readyAddress"),
                root.address("directoryAddress"),
                root.address("metricsAddress"),
                (int) root.number("peerPort", 1, MAX_PORT),
                root.address("storeAddress"),
                root.texts("seeds"),
                root.flag("firstStart", false),
                root.duration("stopTime").orElse(DEFAULT_STOP_TIME),
                root.duration("addressTime").orElse(DEFAULT_ADDRESS_TIME),
                bounds.fleetLimits,
                root.object("responses", NodeSettings::readResponseLimits).orElse(ResponseLimits.DEFAULT),
                root.object("memory", NodeSettings::readMemoryLimits).orElseGet(NodeSettings::defaultMemoryLimits),
                readMaxServerPause(root),
                bounds.changeTimes,
                root.object("callers", NodeSettings::readSpreadSettings).orElse(SpreadSettings.OFF),
                root.object("exchange", ExchangeSettings::read).orElse(ExchangeSettings.DEFAULT),
                root.object("waiting", NodeSettings::readWaitingLimits),
                bounds.rollouts,
                root.object("placement", NodeSettings::readPlacement).orElse(PlacementSettings.DEFAULT),
                root.object("hedging", HedgingReader::read));
    }

    private static SpreadSettings readSpreadSettings(SettingsObject callers) {
        SpreadSettings off = SpreadSettings.OFF;
        double processorShare = callers.decimal("processorShare", off.processorShare());
        if (processorShare < 0) {
            callers.problem("processorShare", String.valueOf(processorShare), "use a share of a core, such as 0.5");
            processorShare = off.processorShare();
        }
        return new SpreadSettings(
                (int) callers.number("subsetSize", 0, MAX_SUBSET_SIZE, off.subsetSize()),
                callers.flag("spreadByUse", off.byUse()),
                callers.flag("rejectEarly", off.rejectEarly()),
                processorShare,
                (int) callers.number("descriptors", MIN_DESCRIPTORS, MAX_DESCRIPTORS, off.descriptors()));
    }

    private static PlacementSettings readPlacement(SettingsObject placement) {
        PlacementSettings defaults = PlacementSettings.DEFAULT;
        return new PlacementSettings((int) placement.number("choices", 0, MAX_ROUTERS, defaults.choices()), (int)
                placement.number("minRouters", 0, MAX_ROUTERS, defaults.minRouters()));
    }

    private static WaitingLimits readWaitingLimits(SettingsObject waiting) {
        WaitingLimits defaults = WaitingLimits.DEFAULT;
        double timeShare = waiting.decimal("timeShare", defaults.timeShare());
        if (!(timeShare > 0 && timeShare <= WaitingLimits.MAX_TIME_SHARE)) {
            waiting.problem(
                    "timeShare",
                    String.valueOf(timeShare),
                    "use a part above 0 and at most " + WaitingLimits.MAX_TIME_SHARE);
            timeShare = defaults.timeShare();
        }
        return new WaitingLimits(
                (int) waiting.number("requests", 1, MAX_WAITING_REQUESTS, defaults.requests()),
                waiting.number("bytes", 1, Runtime.getRuntime().maxMemory(), defaults.bytes()),
                timeShare,
                (int) waiting.number("minRouters", 0, MAX_ROUTERS, defaults.minRouters()));
    }

    private static Bounds readBounds(SettingsObject bounds) {
        return new Bounds(readFleetLimits(bounds), readChangeTimes(bounds), readRollouts(bounds));
    }

    /** Reads the bounds of roll-outs, which are off without a share. */
    private static Optional<RolloutSettings> readRollouts(SettingsObject bounds) {
        double share = bounds.decimal("canaryShare", 0);
        double slack = bounds.decimal("canarySlack", 0);
        Duration rollbackTime = bounds.duration("rollbackTime").orElse(DEFAULT_ROLLBACK_TIME);
        if (share < 0 || share >= 1) {
            bounds.problem("canaryShare", Double.toString(share), "use a share above 0 and below 1, or leave it out");
        } else if (slack < 0) {
            bounds.problem("canarySlack", Double.toString(slack), "use a number of requests, at least 0");
        } else if (rollbackTime.compareTo(MIN_CHANGE_TIME) < 0) {
            bounds.problem("rollbackTime", rollbackTime.toString(), "use at least \"500ms\"; peers must hear of it");
        } else if (share > 0) {
            return Optional.of(new RolloutSettings(share, slack, rollbackTime));
        }
        return Optional.empty();
    }

    /** Reads the times within which changes must be in force; the shortest one applies to the operator's table. */
    private static ChangeTimes readChangeTimes(SettingsObject bounds) {
        Duration operator = Stream.of("configurationTime", "evacuationTime", "revocationTime")
                .flatMap(name -> readChangeTime(bounds, name).stream())
                .min(Comparator.naturalOrder())
                .orElse(ChangeTimes.DEFAULT.operator());
        return new ChangeTimes(operator, readChangeTime(bounds, "leavingTime").orElse(ChangeTimes.DEFAULT.servers()));
    }

    private static Optional<Duration> readChangeTime(SettingsObject bounds, String name) {
        Optional<Duration> time = bounds.duration(name);
        if (time.isPresent() && time.get().compareTo(MIN_CHANGE_TIME) < 0) {
            bounds.problem(name, time.get().toString(), "use at least \"500ms\"; a change takes some round trips");
            return Optional.empty();
        }
        return time;
    }

    private static Duration readMaxServerPause(SettingsObject root) {
        Duration pause = root.duration("maxServerPause").orElse(DEFAULT_MAX_SERVER_PAUSE);
        if (pause.compareTo(LONGEST_MAX_SERVER_PAUSE) > 0) {
            root.problem(
                    "maxServerPause", pause.toString(), "use at most \"1h\"; a server that pauses longer has left");
        }
        return pause;
    }

    private static ResponseLimits readResponseLimits(SettingsObject limits) {
        ResponseLimits defaults = ResponseLimits.DEFAULT;
        return new ResponseLimits(
                (int) limits.number("headBytes", MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES, defaults.headBytes()),
                (int) limits.number("bodyBytes", MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES, defaults.bodyBytes()),
                (int) limits.number("eventBytes", MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES, defaults.eventBytes()));
    }

    private static MemoryLimits readMemoryLimits(SettingsObject limits) {
        MemoryLimits defaults = defaultMemoryLimits();
        long max = Runtime.getRuntime().maxMemory() / 3;
        return new MemoryLimits(
                limits.number("responseBytes", MIN_MEMORY_BYTES, max, defaults.responseBytes()),
                limits.number("requestBytes", MIN_MEMORY_BYTES, max, defaults.requestBytes()));
    }

    private static MemoryLimits defaultMemoryLimits() {
        return MemoryLimits.ofHeap(Runtime.getRuntime().maxMemory());
    }

    private static FleetLimits readFleetLimits(SettingsObject limits) {
        FleetLimits defaults = defaultFleetLimits();
        return new FleetLimits(
                limits.decimal("retryRatio", defaults.retryRatio()),
                limits.decimal("retryAllowance", defaults.retryAllowance()),
                limits.duration("retryWindow").orElse(defaults.retryWindow()),
                limits.decimal("coldOvershoot", defaults.coldOvershoot()),
                limits.decimal("coldSlack", defaults.coldSlack()));
    }

    /** Returns the default limits: retries for a tenth of the requests, no request above the rate of a cold server. */
    private static FleetLimits defaultFleetLimits() {
        return new FleetLimits(
                DEFAULT_RETRY_RATIO, DEFAULT_RETRY_ALLOWANCE, DEFAULT_RETRY_WINDOW, DEFAULT_COLD_OVERSHOOT, 0);
    }

    /** Values of the object {@code bounds}. */
    private record Bounds(FleetLimits fleetLimits, ChangeTimes changeTimes, Optional<RolloutSettings> rollouts) {}
}
