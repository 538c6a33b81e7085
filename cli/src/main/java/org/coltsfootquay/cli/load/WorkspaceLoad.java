package org.coltsfootquay.cli.load;

import java.util.List;
import java.util.Optional;

/**
 * Load of one workspace.
 *
 * @param workspace workspace
 * @param key bearer key
 * @param profiles calls it makes, each as often as the others
 * @param outstanding calls it keeps outstanding at all times (closed loop); 0 for an open loop
 * @param callsPerSecond rate of calls of an open loop; ignored for a closed loop
 * @param startMillis start of the load since the start of the run
 * @param endMillis end of the load since the start of the run
 * @param preferredAddress router that all its calls go to first; empty to use the ranked answer of the fleet
 */
public record WorkspaceLoad(
        String workspace,
        String key,
        List<CallProfile> profiles,
        int outstanding,
        double callsPerSecond,
        long startMillis,
        long endMillis,
        Optional<String> preferredAddress) {

    /** Copies the list. */
    public WorkspaceLoad {
        profiles = List.copyOf(profiles);
    }
}
