package org.coltsfootquay.decision.spread;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.peer.RouterUse;
import org.coltsfootquay.decision.peer.UseReport;

/**
 * Weights by which routers are named to callers, from the use that the routers report; not thread-safe.
 *
 * <p>Load that it answers: some callers send far more than others, so that even subsets still fill a router. A router
 * above its zone is named to fewer callers, in steps. Callers follow a step only after some seconds, so the next step
 * waits until the previous one shows, and a step is smaller than the band in which a weight stays as it is, so that
 * callers do not oscillate between routers. A router that fills up again waits longer before it regains callers.
 * While a zone is even, idle or full, all of its routers regain the full weight.
 */
public final class RouterWeights {

    /** Time between two adjustments. */
    public static final Duration INTERVAL = Duration.ofSeconds(1);

    /** Share of its callers that a router keeps after one step. */
    private static final double STEP = 0.75;

    /** Maximum number of steps; the router stays in some subsets, so that a false report cannot exclude it. */
    private static final int MAX_STEPS = 10;

    /** Use below which a router is not relieved, permille. */
    private static final int MIN_USE = 300;

    /** Use of a router that has no room left, permille. */
    private static final int FULL_USE = 950;

    /** Mean use of a zone above which moving callers does not help, permille. */
    private static final int FULL_ZONE_USE = 850;

    /** Use by which a router must exceed the mean of its zone, as a part of the mean. */
    private static final double EXCESS = 0.75;

    /** Use up to which a relieved router regains callers, as a multiple of the mean of its zone. */
    private static final double REGAIN_LIMIT = 1.1;

    /** Time for callers to follow a step: some use an answer three times as long as told, and use is averaged. */
    private static final Duration EFFECT_TIME = Duration.ofSeconds(4);

    /** Use above which a router is relieved without delay, as a multiple of the mean of its zone. */
    private static final double URGENT_EXCESS = 2;

    /** Maximum number of times that the wait before a router regains callers is doubled. */
    private static final int MAX_RELAPSES = 4;

    private final Map<RouterId, Steps> stepsByRouter = new HashMap<>();

    /** Creates an instance in which all routers have the full weight. */
    public RouterWeights() {
        // Routers are added by their reports.
    }

    /**
     * Adjusts the weights; to be called once per {@link #INTERVAL}.
     *
     * @param reports latest reports of all ready routers
     * @param nowNanos current time
     * @return routers whose weight was changed
     */
    public List<RouterId> adjust(Collection<UseReport> reports, long nowNanos) {
        stepsByRouter.keySet().retainAll(reports.stream().map(UseReport::router).collect(Collectors.toSet()));
        return reports.stream()
                .filter(report -> report.use().isKnown())
                .collect(Collectors.groupingBy(UseReport::zone))
                .values()
                .stream()
                .flatMap(zone -> {
                    double mean = meanUse(zone);
                    return zone.stream().filter(report -> adjust(report, mean, nowNanos));
                })
                .map(UseReport::router)
                .toList();
    }

    /**
     * Returns the mean use of some routers.
     *
     * @param reports reports of routers that state their use
     * @return mean, permille; 0 without reports
     */
    public static double meanUse(Collection<UseReport> reports) {
        return reports.stream()
                .mapToInt(report -> report.use().permille())
                .average()
                .orElse(0);
    }

    private boolean adjust(UseReport report, double mean, long nowNanos) {
        Steps steps = stepsByRouter.getOrDefault(report.router(), Steps.NONE);
        int use = report.use().permille();
        boolean fullZone = mean >= FULL_ZONE_USE;
        if (!fullZone && use >= MIN_USE && use > mean + Math.min(EXCESS * mean, (RouterUse.MAX_PERMILLE - mean) / 2)) {
            boolean urgent = use >= FULL_USE || use > URGENT_EXCESS * mean;
            if (steps.count == MAX_STEPS || !steps.mayRelieve(report, urgent, nowNanos)) {
                return false;
            }
            stepsByRouter.put(report.router(), steps.relieved(report, nowNanos));
            return true;
        }
        boolean low = fullZone || use <= REGAIN_LIMIT * mean || use < MIN_USE / 2;
        if (steps.count == 0 || !low || !steps.mayRegain(fullZone, nowNanos)) {
            return false;
        }
        if (steps.count == 1) {
            stepsByRouter.remove(report.router());
        } else {
            stepsByRouter.put(report.router(), steps.regained(report, nowNanos));
        }
        return true;
    }

    /**
     * Returns the weight of a router.
     *
     * @param router router
     * @return weight, above 0 and at most 1
     */
    public double weight(RouterId router) {
        return Math.pow(STEP, stepsByRouter.getOrDefault(router, Steps.NONE).count);
    }

    /**
     * Returns the number of routers that are named to fewer callers than others.
     *
     * @return count
     */
    public int relievedCount() {
        return stepsByRouter.size();
    }

    /**
     * Steps by which a router is relieved.
     *
     * @param count number of steps
     * @param changedNanos time of the last change
     * @param reportNanos time of the report that caused it
     * @param afterRegain whether the last change returned callers to the router
     * @param relapses number of times that the router had to be relieved after it had regained callers
     */
    private record Steps(int count, long changedNanos, long reportNanos, boolean afterRegain, int relapses) {

        private static final Steps NONE = new Steps(0, 0, 0, false, 0);

        private boolean mayRelieve(UseReport report, boolean urgent, long nowNanos) {
            return count == 0 || (report.atNanos() != reportNanos && (urgent || elapsed(EFFECT_TIME, nowNanos)));
        }

        private boolean mayRegain(boolean fullZone, long nowNanos) {
            return elapsed(fullZone ? EFFECT_TIME : EFFECT_TIME.multipliedBy(1L << relapses), nowNanos);
        }

        private boolean elapsed(Duration time, long nowNanos) {
            return nowNanos - changedNanos >= time.toNanos();
        }

        private Steps relieved(UseReport report, long nowNanos) {
            int newRelapses = afterRegain ? Math.min(MAX_RELAPSES, relapses + 1) : relapses;
            return new Steps(count + 1, nowNanos, report.atNanos(), false, newRelapses);
        }

        private Steps regained(UseReport report, long nowNanos) {
            return new Steps(count - 1, nowNanos, report.atNanos(), true, relapses);
        }
    }
}
