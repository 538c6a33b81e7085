package org.coltsfootquay.router.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.RequestClassName;
import org.coltsfootquay.decision.common.WorkspaceId;

/** Estimated output of requests: exponentially weighted mean by workspace and class; thread-safe. */
public final class OutputEstimator {

    private static final double SMOOTHING_FACTOR = 0.1;

    /** 290 workspaces with 14 classes each; the entry used least recently is dropped first. */
    private static final int CAPACITY = 4_096;

    private final Map<Key, Double> means = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Double> eldest) {
            return size() > CAPACITY;
        }
    };

    /** Creates estimates without history. */
    public OutputEstimator() {
        // Entries appear with the first finished request.
    }

    /**
     * Estimates the output of a request.
     *
     * @param workspace workspace
     * @param classOfWork class
     * @param hint the caller's hint, which is also the upper bound
     * @return service units
     */
    public synchronized long estimate(WorkspaceId workspace, RequestClassName classOfWork, long hint) {
        Double mean = means.get(new Key(workspace, classOfWork));
        return mean == null ? hint : Math.min(hint, Math.round(mean));
    }

    /**
     * Notes the output of a finished request.
     *
     * @param workspace workspace
     * @param classOfWork class
     * @param units service units
     */
    public synchronized void recordOutput(WorkspaceId workspace, RequestClassName classOfWork, long units) {
        means.merge(new Key(workspace, classOfWork), (double) units, (mean, last) -> mean + SMOOTHING_FACTOR * (last - mean));
    }

    private record Key(WorkspaceId workspace, RequestClassName classOfWork) {}
}
