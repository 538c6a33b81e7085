package org.coltsfootquay.decision.invariant;

import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * G10: the version in force at a process never decreases, and a version has the same content everywhere.
 *
 * <p>Not thread-safe.
 */
public final class ConfigurationVersionInvariant {

    private static final int KEPT_VERSIONS = 1_000;

    private final InvariantMonitor monitor;
    private final Map<String, Long> versions = new HashMap<>();
    private final Map<Long, String> objects = new HashMap<>();

    /**
     * Creates the check.
     *
     * @param monitor receiver of violations
     */
    public ConfigurationVersionInvariant(InvariantMonitor monitor) {
        this.monitor = ArgumentUtils.requireValue(monitor, "monitor");
    }

    /**
     * Checks the version in force at a process.
     *
     * @param process identifier of the process, new for each start
     * @param version version in force; 0 for none
     * @param object name of the object with the content, empty when it is not known
     */
    public void check(String process, long version, String object) {
        Long before = versions.put(process, version);
        if (before != null && before > version) {
            monitor.recordViolation(Guarantee.G10, "version reverted", "process", process, "from", before, "version", version);
        }
        if (version > 0 && !object.isEmpty()) {
            String known = objects.putIfAbsent(version, object);
            if (known != null && !known.equals(object)) {
                monitor.recordViolation(
                        Guarantee.G10,
                        "version has two contents",
                        "process",
                        process,
                        "version",
                        version,
                        "object",
                        object,
                        "other",
                        known);
            }
            objects.keySet().removeIf(old -> old < version - KEPT_VERSIONS);
        }
    }

    /**
     * Forgets a process that ended.
     *
     * @param process identifier of the process
     */
    public void removeProcess(String process) {
        versions.remove(process);
    }
}
