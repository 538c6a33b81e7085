package org.coltsfootquay.decision.invariant;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.dispatch.ServerState;
import org.coltsfootquay.decision.fairness.FairnessGapMonitor;

/**
 * Run-time checks of the guarantees G1, G2, G3 and G11. Safe for use from several threads.
 */
public final class SchedulingInvariants {

    /** Part of the capacity that may be idle while admissible work waits. */
    public static final double MAX_IDLE_FRACTION = 0.01;

    /** Time over which idle capacity is judged; shorter ones would count single probe periods as violations. */
    public static final Duration IDLE_WINDOW = Duration.ofSeconds(60);

    /** Time without a grant after which a waiting workspace counts as starving, when others were served meanwhile. */
    public static final Duration STARVATION_TIMEOUT = Duration.ofSeconds(60);

    private static final Map<Guarantee, String> REASONS = Map.of(
            Guarantee.G1, "gap above the bound",
            Guarantee.G2, "a waiting workspace is not served",
            Guarantee.G3, "a server was given more than it can bear",
            Guarantee.G11, "capacity idle while work waits");

    private final InvariantMonitor monitor;
    private final Map<ServiceName, IdleWindow> idle = new HashMap<>();

    private static final class IdleWindow {
        private long beginNanos;
        private long lastNanos;
        private double idleSlotSeconds;
        private double capacitySlotSeconds;
        private int idleSlots;
        private int capacity;
    }

    /**
     * Creates the checks.
     *
     * @param monitor counter of violations
     */
    public SchedulingInvariants(InvariantMonitor monitor) {
        this.monitor = ArgumentUtils.requireValue(monitor, "monitor");
    }

    /**
     * Checks the fairness gap (G1).
     *
     * @param service service
     * @param gap measured gap
     * @param boundUnits bound in service units
     * @return true if the gap is within the bound
     */
    public boolean checkFairnessGap(ServiceName service, FairnessGapMonitor.Gap gap, double boundUnits) {
        return gap.units() <= boundUnits
                || violated(
                        Guarantee.G1,
                        "service",
                        service,
                        "workspace",
                        gap.moreServed(),
                        "other",
                        gap.lessServed(),
                        "gap",
                        gap.units(),
                        "bound",
                        Math.round(boundUnits));
    }

    /**
     * Checks that a waiting workspace is served (G2).
     *
     * @param service service
     * @param workspace workspace that has been waiting without a grant
     * @param waiting time since it began to wait or was last granted a start
     * @param grantsToOthers starts granted to other workspaces in that time
     * @param backlogged number of backlogged workspaces
     * @return true if the workspace does not starve
     */
    public boolean checkStarvation(
            ServiceName service, WorkspaceId workspace, Duration waiting, long grantsToOthers, int backlogged) {
        // With weights of at least 1/64 a workspace is due after 64 rounds of the others, however far above the mean.
        boolean starves = waiting.compareTo(STARVATION_TIMEOUT) > 0 && grantsToOthers > 64L * backlogged;
        return !starves
                || violated(
                        Guarantee.G2,
                        "service",
                        service,
                        "workspace",
                        workspace,
                        "waitingMillis",
                        waiting.toMillis(),
                        "grantsToOthers",
                        grantsToOthers);
    }

    /**
     * Checks a server right after a grant (G3).
     *
     * @param service service
     * @param state state with the granted request
     * @return true if the requests in flight are within the capacity
     */
    public boolean checkGrant(ServiceName service, ServerState state) {
        return (state.inFlight() <= state.capacity() && state.admitting())
                || violated(
                        Guarantee.G3,
                        "service",
                        service,
                        "server",
                        state.server(),
                        "inFlight",
                        state.inFlight(),
                        "capacity",
                        state.capacity(),
                        "admitting",
                        state.admitting());
    }

    /**
     * Checks the shares of a server's limit that routers use at the same time (G3).
     *
     * @param server server
     * @param shares share by fencing number
     * @return true if they add up to at most 1
     */
    public boolean checkShares(ServerName server, Map<Long, Double> shares) {
        double sum = shares.values().stream().mapToDouble(Double::doubleValue).sum();
        return sum <= 1 + 1e-9 || violated(Guarantee.G3, "server", server, "shares", sum, "fencing", shares.keySet());
    }

    /**
     * Observes free slots and waiting requests of a service (G11); checks once a window.
     *
     * @param service service
     * @param freeSlots slots that are free now on servers that admit work
     * @param capacity all slots on servers that admit work
     * @param waiting requests that wait and could start on any of these servers
     * @param nowNanos current time
     * @return true unless a window ended in which too much capacity was idle while work waited
     */
    public synchronized boolean checkIdleCapacity(
            ServiceName service, int freeSlots, int capacity, int waiting, long nowNanos) {
        IdleWindow window = idle.computeIfAbsent(service, any -> {
            IdleWindow begun = new IdleWindow();
            begun.beginNanos = nowNanos;
            begun.lastNanos = nowNanos;
            return begun;
        });
        double seconds = (nowNanos - window.lastNanos) / 1e9;
        window.idleSlotSeconds += window.idleSlots * seconds;
        window.capacitySlotSeconds += window.capacity * seconds;
        window.lastNanos = nowNanos;
        window.idleSlots = Math.min(freeSlots, waiting);
        window.capacity = capacity;
        if (nowNanos - window.beginNanos < IDLE_WINDOW.toNanos()) {
            return true;
        }
        double part = window.capacitySlotSeconds == 0 ? 0 : window.idleSlotSeconds / window.capacitySlotSeconds;
        window.beginNanos = nowNanos;
        window.idleSlotSeconds = 0;
        window.capacitySlotSeconds = 0;
        return part <= MAX_IDLE_FRACTION
                || violated(Guarantee.G11, "service", service, "idlePart", part, "limit", MAX_IDLE_FRACTION);
    }

    private boolean violated(Guarantee guarantee, Object... namesAndValues) {
        monitor.recordViolation(guarantee, REASONS.get(guarantee), namesAndValues);
        return false;
    }
}
