package org.coltsfootquay.decision.membership;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Settings of the membership controller.
 *
 * @param id identifier of this router
 * @param zone availability zone of this router
 * @param region region of this router
 * @param callerAddress address for callers, {@code host:port}
 * @param peerAddress address for other routers, {@code host:port}
 * @param firstIncarnation incarnation to start with, greater than that of any earlier process with this identifier; for
 *     example the start time in milliseconds
 * @param timeToLive time to live of the membership row
 * @param renewalPeriod interval between renewals
 * @param safetyMargin time before the expiry in the store at which this router considers its lease lapsed
 * @param maxPollAgeForRenewal maximum age of the last successful poll for a renewal to be sent
 * @param grantTimeout time after which an unused grant expires
 */
public record MembershipSettings(
        RouterId id,
        ZoneName zone,
        RegionName region,
        String callerAddress,
        String peerAddress,
        long firstIncarnation,
        Duration timeToLive,
        Duration renewalPeriod,
        Duration safetyMargin,
        Duration maxPollAgeForRenewal,
        Duration grantTimeout) {

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if an identifier is missing, the first incarnation is not positive, or the time
     *     to live does not exceed the sum of safety margin and renewal period
     */
    public MembershipSettings {
        ArgumentUtils.requireValue(id, "router id");
        ArgumentUtils.requireValue(zone, "zone");
        ArgumentUtils.requireValue(region, "region");
        ArgumentUtils.requirePositive(firstIncarnation, "first incarnation");
        ArgumentUtils.requirePositive(
                timeToLive.minus(safetyMargin).minus(renewalPeriod).toNanos(),
                "time to live minus safety margin and renewal period");
    }

    /**
     * Returns the default settings: a time to live of 9 s, a renewal every 3 s and a safety margin of 1 s.
     *
     * @param id identifier of this router
     * @param zone availability zone of this router
     * @param region region of this router
     * @param callerAddress address for callers
     * @param peerAddress address for other routers
     * @param firstIncarnation first incarnation
     * @return settings
     */
    public static MembershipSettings standard(
            RouterId id,
            ZoneName zone,
            RegionName region,
            String callerAddress,
            String peerAddress,
            long firstIncarnation) {
        return new MembershipSettings(
                id,
                zone,
                region,
                callerAddress,
                peerAddress,
                firstIncarnation,
                Duration.ofSeconds(9),
                Duration.ofSeconds(3),
                Duration.ofSeconds(1),
                Duration.ofSeconds(3),
                Duration.ofMillis(500));
    }
}
