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

/** Run-time checks of the guarantees G1, G2, G3 and G11; thread-safe. */
public final class SchedulingInvariants {

    /** Maximum fraction of the capacity that may be idle while admissible requests wait. */
    public static final double MAX_IDLE_FRACTION = 0.01;

    /** Time over which idle capacity is averaged; a shorter window would report single probe periods as violations. */
    public static final Duration IDLE_WINDOW = Duration.ofSeconds(60);

    /** Time without a grant after which a waiting workspace is starving if others were served in the meantime. */
    public static final Duration STARVATION_TIMEOUT = Duration.ofSeconds(60);

    private static final Map<Guarantee, String> REASONS = Map.of(
            Guarantee.G1, "fairness gap exceeds its bound",
            Guarantee.G2, "waiting workspace receives no grants",
            Guarantee.G3, "server capacity exceeded",
            Guarantee.G11, "capacity idle while requests wait");

    private final InvariantMonitor monitor;
    private final Map<ServiceName, IdleWindow> idleWindows = new HashMap<>();

    private static final class IdleWindow {
        private long startNanos;
        private long lastNanos;
        private double idleSlotSeconds;
        private double capacitySlotSeconds;
        private int idleSlots;
        private int capacity;
    }

    /**
     * Creates the checks.
     *
     * @param monitor monitor that counts and records violations
     */
    public SchedulingInvariants(InvariantMonitor monitor) {
        this.monitor = ArgumentUtils.requireValue(monitor, "monitor");
    }

    /**
     * Checks the fairness gap (G1).
     *
     * @param service service
     * @param gap measured fairness gap
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
     * Checks that a waiting workspace is not starving (G2).
     *
     * @param service service
     * @param workspace workspace that is waiting without a grant
     * @param waiting time since the workspace began to wait or last received a grant
     * @param grantsToOthers grants to other workspaces in that time
     * @param backlogged number of backlogged workspaces
     * @return true if the workspace is not starving
     */
    public boolean checkStarvation(
            ServiceName service, WorkspaceId workspace, Duration waiting, long grantsToOthers, int backlogged) {
        // Weights are at least 1/64, so a workspace is due after 64 rounds of the others, no matter how far its usage
        // is above the mean.
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
     * Checks a server immediately after a grant (G3).
     *
     * @param service service
     * @param state state of the server, including the granted request
     * @return true if the server admits work and its requests in flight do not exceed its capacity
     */
    public boolean checkGrant(ServiceName service, ServerState state) {
        return (state.inFlight() <= state.capacity() && state.admitsWork())
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
                        state.admitsWork());
    }

    /**
     * Checks the shares of a server's capacity that routers use concurrently (G3).
     *
     * @param server server
     * @param shares share by fencing number
     * @return true if the sum of the shares is at most 1
     */
    public boolean checkShares(ServerName server, Map<Long, Double> shares) {
        double sum = shares.values().stream().mapToDouble(Double::doubleValue).sum();
        return sum <= 1 + 1e-9 || violated(Guarantee.G3, "server", server, "shares", sum, "fencing", shares.keySet());
    }

    /**
     * Records the free slots and waiting requests of a service (G11) and checks the idle capacity once per window.
     *
     * @param service service
     * @param freeSlots number of currently free slots on servers that admit work
     * @param capacity total number of slots on servers that admit work
     * @param waiting number of waiting requests that could start on any of these servers
     * @param nowNanos current time
     * @return true unless a window ended in which too much capacity was idle while requests were waiting
     */
    public synchronized boolean checkIdleCapacity(
            ServiceName service, int freeSlots, int capacity, int waiting, long nowNanos) {
        IdleWindow window = idleWindows.computeIfAbsent(service, key -> {
            IdleWindow created = new IdleWindow();
            created.startNanos = nowNanos;
            created.lastNanos = nowNanos;
            return created;
        });
        double seconds = (nowNanos - window.lastNanos) / 1e9;
        window.idleSlotSeconds += window.idleSlots * seconds;
        window.capacitySlotSeconds += window.capacity * seconds;
        window.lastNanos = nowNanos;
        window.idleSlots = Math.min(freeSlots, waiting);
        window.capacity = capacity;
        if (nowNanos - window.startNanos < IDLE_WINDOW.toNanos()) {
            return true;
        }
        double idleFraction = window.capacitySlotSeconds == 0 ? 0 : window.idleSlotSeconds / window.capacitySlotSeconds;
        window.startNanos = nowNanos;
        window.idleSlotSeconds = 0;
        window.capacitySlotSeconds = 0;
        return idleFraction <= MAX_IDLE_FRACTION
                || violated(Guarantee.G11, "service", service, "idlePart", idleFraction, "limit", MAX_IDLE_FRACTION);
    }

    private boolean violated(Guarantee guarantee, Object... namesAndValues) {
        monitor.recordViolation(guarantee, REASONS.get(guarantee), namesAndValues);
        return false;
    }
}
