package org.coltsfootquay.router.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.common.WorkspaceId;

/** Estimates the output of requests by an exponentially weighted mean for each workspace and class; thread-safe. */
public final class OutputEstimator {

    private static final double SMOOTHING_FACTOR = 0.1;

    /** Room for 290 workspaces with 14 classes each. The least recently used entry is evicted first. */
    private static final int CAPACITY = 4_096;

    private final Map<Key, Double> means = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Double> eldest) {
            return size() > CAPACITY;
        }
    };

    /** Creates an estimator without history. */
    public OutputEstimator() {
        // An entry is added when the first request of its workspace and class finishes.
    }

    /**
     * Estimates the output of a request.
     *
     * @param workspace workspace
     * @param classOfWork class
     * @param hint estimate without history and upper bound, derived from max_tokens for a model request
     * @return estimated output in service units
     */
    public synchronized long estimate(WorkspaceId workspace, ClassOfWorkName classOfWork, long hint) {
        Double mean = means.get(new Key(workspace, classOfWork));
        return mean == null ? hint : Math.min(hint, Math.round(mean));
    }

    /**
     * Records the output of a finished request.
     *
     * @param workspace workspace
     * @param classOfWork class
     * @param units output in service units
     */
    public synchronized void recordOutput(WorkspaceId workspace, ClassOfWorkName classOfWork, long units) {
        means.merge(
                new Key(workspace, classOfWork),
                (double) units,
                (mean, latest) -> mean + SMOOTHING_FACTOR * (latest - mean));
    }

    private record Key(WorkspaceId workspace, ClassOfWorkName classOfWork) {}
}
