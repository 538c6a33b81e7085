package org.coltsfootquay.router.daemon;

import java.util.function.Consumer;
import org.coltsfootquay.decision.dispatch.PolicyName;
import org.coltsfootquay.router.timeline.TimelineEntry;

/**
 * Options that an embedding program sets and that are not part of the settings file.
 *
 * @param policy scheduling policy of the dispatchers
 * @param eventLoopThreads number of event loop threads
 * @param timelineCapacity maximum number of timeline events in memory
 * @param platform factory of the platform ports
 * @param observer receives each timeline event on the recording thread; must not block
 */
public record RouterOptions(
        PolicyName policy,
        int eventLoopThreads,
        int timelineCapacity,
        PlatformPorts.Factory platform,
        Consumer<TimelineEntry> observer) {

    /** 20,000 events of about 300 bytes take 6 MB of the memory budget of 32 MB. */
    private static final int TIMELINE_CAPACITY = 20_000;

    /**
     * Returns the options for normal operation.
     *
     * @param platform factory of the platform ports
     * @return options
     */
    public static RouterOptions defaults(PlatformPorts.Factory platform) {
        return new RouterOptions(PolicyName.FLEET, 2, TIMELINE_CAPACITY, platform, entry -> {});
    }
}
