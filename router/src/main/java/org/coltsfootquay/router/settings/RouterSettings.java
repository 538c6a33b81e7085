package org.coltsfootquay.router.settings;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.settings.SettingsObject;

/**
 * Settings of one router process.
 *
 * @param id identifier, unique in the fleet
 * @param zone availability zone in which the process runs
 * @param region region of the zone
 * @param callerAddress IP address and port for callers and operators
 * @param peerAddress IP address and port for other routers
 * @param platformAddress IP address and port of the platform's services
 * @param fleetKey secret that routers use to authenticate one another
 * @param operatorKeyDigests SHA-256 digests of operator keys, lower-case hexadecimal
 * @param timing periods and time limits
 * @param limits limits on requests and connections of callers
 */
public record RouterSettings(
        RouterId id,
        ZoneName zone,
        RegionName region,
        String callerAddress,
        String peerAddress,
        String platformAddress,
        String fleetKey,
        List<String> operatorKeyDigests,
        Timing timing,
        Limits limits) {

    private static final int MIN_FLEET_KEY_LENGTH = 16;

    /** Makes a defensive copy of the digests. */
    public RouterSettings {
        operatorKeyDigests = List.copyOf(operatorKeyDigests);
    }

    /**
     * Reads the settings and records problems in the root object.
     *
     * @param root root object of the settings file
     * @return the settings
     */
    public static RouterSettings read(SettingsObject root) {
        String fleetKey = root.text("fleetKey");
        if (!fleetKey.isEmpty() && fleetKey.length() < MIN_FLEET_KEY_LENGTH) {
            root.problem(
                    "fleetKey",
                    "a key of " + fleetKey.length() + " characters",
                    "use at least " + MIN_FLEET_KEY_LENGTH + " random characters, the same in the whole fleet");
        }
        List<String> digests = root.texts("operatorKeys").stream()
                .map(text -> KeyDigestUtils.parseDigest(text, root, "operatorKeys"))
                .toList();
        if (digests.isEmpty()) {
            root.problem("operatorKeys", "no key", "add at least one \"sha256:<64 hexadecimal digits>\"");
        }
        return new RouterSettings(
                new RouterId(root.name("id")),
                new ZoneName(root.name("zone")),
                new RegionName(root.name("region")),
                root.address("callerAddress"),
                root.address("peerAddress"),
                root.address("platformAddress"),
                fleetKey,
                digests,
                root.object("timing", Timing::read).orElse(Timing.DEFAULT),
                root.object("limits", Limits::read).orElse(Limits.DEFAULT));
    }

    @Override
    public String toString() {
        return "RouterSettings[id=" + id + ", zone=" + zone + ", callerAddress=" + callerAddress + ", peerAddress="
                + peerAddress + "]";
    }

    /**
     * Periods and time limits.
     *
     * @param leaseTimeToLive time from the last renewal to the expiry of the membership lease
     * @param leaseRenewPeriod time between renewals; at most a third of the time to live
     * @param pollPeriod time between polls of the table service for changes
     * @param addressKeepTime time for which callers may cache a response of {@code /v1/addresses}
     * @param platformTimeout time limit of one call to the platform
     * @param reportPeriod minimum time between usage reports
     * @param loadPollPeriod time between polls of a server's load
     */
    public record Timing(
            Duration leaseTimeToLive,
            Duration leaseRenewPeriod,
            Duration pollPeriod,
            Duration addressKeepTime,
            Duration platformTimeout,
            Duration reportPeriod,
            Duration loadPollPeriod) {

        /** Default timing, as specified in the design. */
        public static final Timing DEFAULT = new Timing(
                Duration.ofSeconds(9),
                Duration.ofSeconds(3),
                Duration.ofSeconds(1),
                Duration.ofSeconds(30),
                Duration.ofSeconds(2),
                Duration.ofMillis(250),
                Duration.ofMillis(500));

        private static Timing read(SettingsObject object) {
            Timing timing = new Timing(
                    object.duration("leaseTimeToLive").orElse(DEFAULT.leaseTimeToLive),
                    object.duration("leaseRenewPeriod").orElse(DEFAULT.leaseRenewPeriod),
                    object.duration("pollPeriod").orElse(DEFAULT.pollPeriod),
                    object.duration("addressKeepTime").orElse(DEFAULT.addressKeepTime),
                    object.duration("platformTimeout").orElse(DEFAULT.platformTimeout),
                    object.duration("reportPeriod").orElse(DEFAULT.reportPeriod),
                    object.duration("loadPollPeriod").orElse(DEFAULT.loadPollPeriod));
            if (timing.leaseRenewPeriod.multipliedBy(3).compareTo(timing.leaseTimeToLive) > 0) {
                object.problem(
                        "leaseRenewPeriod",
                        timing.leaseRenewPeriod.toString().toLowerCase(Locale.ROOT),
                        "use at most a third of leaseTimeToLive, so that the lease survives two lost renewals");
            }
            return timing;
        }
    }

    /**
     * Limits on requests and connections of callers.
     *
     * @param maxBodyBytes maximum size of a request body
     * @param maxHeaderBytes maximum size of the request line and the headers together
     * @param maxConnections maximum number of concurrent caller connections
     * @param maxRequests maximum number of concurrent requests in this process
     */
    public record Limits(int maxBodyBytes, int maxHeaderBytes, int maxConnections, int maxRequests) {

        /** Default limits; 5,000 requests are more than 20 times the 220 streams of a router at the target size. */
        public static final Limits DEFAULT = new Limits(1 << 20, 16 << 10, 10_000, 5_000);

        private static Limits read(SettingsObject object) {
            return new Limits(
                    (int) object.number("maxBodyBytes", 1024, 64L << 20, DEFAULT.maxBodyBytes),
                    (int) object.number("maxHeaderBytes", 1024, 1L << 20, DEFAULT.maxHeaderBytes),
                    (int) object.number("maxConnections", 1, 100_000, DEFAULT.maxConnections),
                    (int) object.number("maxRequests", 1, 100_000, DEFAULT.maxRequests));
        }
    }
}
