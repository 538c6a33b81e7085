package org.coltsfootquay.router.daemon;

import java.util.function.Consumer;
import org.coltsfootquay.decision.dispatch.PolicyName;
import org.coltsfootquay.router.timeline.TimelineEntry;

/**
 * Choices of an embedding program that are not part of the settings file.
 *
 * @param policy order policy of the dispatchers
 * @param eventLoopThreads threads of the event loops
 * @param timelineCapacity events kept in memory
 * @param platform creates the ports to the platform
 * @param observer receives each event of the time line on the recording thread; must not block
 */
public record RouterOptions(
        PolicyName policy,
        int eventLoopThreads,
        int timelineCapacity,
        PlatformPorts.Factory platform,
        Consumer<TimelineEntry> observer) {

    /** 20,000 events of about 300 bytes are 6 MB of the 32 MB budget. */
    private static final int TIMELINE_CAPACITY = 20_000;

    /**
     * Returns the choices of normal operation.
     *
     * @param platform creates the ports to the platform
     * @return options
     */
    public static RouterOptions standard(PlatformPorts.Factory platform) {
        return new RouterOptions(PolicyName.FLEET, 2, TIMELINE_CAPACITY, platform, entry -> {});
    }
}
