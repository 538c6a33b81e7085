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
 * @param firstIncarnation number greater than that of any earlier process with this identifier, for example the start
 *     time in milliseconds
 * @param timeToLive time to live of the membership row
 * @param renewalPeriod time between two renewals
 * @param safetyMargin time by which this router considers its lease lapsed before the store does
 * @param maxPollAgeForRenewal longest time since the last poll that succeeded at which a renewal is sent
 * @param grantTimeout time after which a grant that was not used has lapsed
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
     * Checks the parts.
     *
     * @throws IllegalArgumentException if an identifier is missing or the lease is too short for its margin
     */
    public MembershipSettings {
        ArgumentUtils.requireValue(id, "router id");
        ArgumentUtils.requireValue(zone, "zone");
        ArgumentUtils.requireValue(region, "region");
        ArgumentUtils.requirePositive(firstIncarnation, "first incarnation");
        ArgumentUtils.requirePositive(
                timeToLive.minus(safetyMargin).minus(renewalPeriod).toNanos(),
                "time to live less margin and renewal period");
    }

    /**
     * Returns the settings of the design: 9 s to live, renewals every 3 s, 1 s of margin.
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
