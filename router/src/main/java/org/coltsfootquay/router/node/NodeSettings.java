package org.coltsfootquay.router.node;

import java.time.Duration;
import java.util.List;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.router.forward.FleetLimits;
import org.coltsfootquay.settings.SettingsObject;

/**
 * Settings of a router that forwards directly.
 *
 * @param id identifier, unique in the fleet
 * @param zone availability zone
 * @param host IP address of the VM
 * @param callerAddress IP address and port for callers
 * @param readyAddress IP address and port of the readiness page
 * @param directoryAddress IP address and port of the page with the addresses of routers
 * @param metricsAddress IP address and port of the metrics page
 * @param peerPort port for other routers, UDP and TCP
 * @param storeAddress IP address and port of the platform's store
 * @param seeds IP addresses and ports of some routers, which may be out of date; only the host counts
 * @param firstStart true when the whole fleet starts for the first time, so that no server has cached anything
 * @param stopTime longest time that a planned stop may take
 * @param addressTime time for which callers may keep the addresses
 * @param bounds bounds that all routers share
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
        FleetLimits bounds) {

    private static final int MAX_PORT = 65535;

    /** Time from the signal to stop until the process is killed, on a platform that states none. */
    private static final Duration DEFAULT_STOP_TIME = Duration.ofSeconds(8);

    /** Time for which callers keep addresses: short, since a killed router is noticed within a second. */
    private static final Duration DEFAULT_ADDRESS_TIME = Duration.ofSeconds(1);

    /** Repeats for each request; a common share that keeps a failing server from doubling the load. */
    private static final double DEFAULT_RETRY_RATIO = 0.1;

    /** Repeats in a window beside the ratio, so that a fleet with little traffic can repeat at all. */
    private static final double DEFAULT_RETRY_ALLOWANCE = 10;

    private static final Duration DEFAULT_RETRY_WINDOW = Duration.ofSeconds(10);

    /** Factor on the rate that a cold server states: the rate itself is the bound. */
    private static final double DEFAULT_COLD_OVERSHOOT = 1;

    /** Copies the list. */
    public NodeSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Reads the settings; mistakes are recorded in the object.
     *
     * @param root root object of the settings file
     * @return the settings
     */
    public static NodeSettings read(SettingsObject root) {
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
                root.object("bounds", NodeSettings::readBounds).orElseGet(NodeSettings::defaultBounds));
    }

    private static FleetLimits readBounds(SettingsObject bounds) {
        FleetLimits defaults = defaultBounds();
        return new FleetLimits(
                bounds.decimal("retryRatio", defaults.retryRatio()),
                bounds.decimal("retryAllowance", defaults.retryAllowance()),
                bounds.duration("retryWindow").orElse(defaults.retryWindow()),
                bounds.decimal("coldOvershoot", defaults.coldOvershoot()),
                bounds.decimal("coldSlack", defaults.coldSlack()));
    }

    /** Bounds for a platform that states none: repeats for a tenth of the requests, no request above a cold rate. */
    private static FleetLimits defaultBounds() {
        return new FleetLimits(
                DEFAULT_RETRY_RATIO, DEFAULT_RETRY_ALLOWANCE, DEFAULT_RETRY_WINDOW, DEFAULT_COLD_OVERSHOOT, 0);
    }
}
