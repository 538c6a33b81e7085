package org.coltsfootquay.decision.invariant;

import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Checks G10: the configuration version in force at a process never decreases, and a version has the same content
 * everywhere.
 *
 * <p>Not thread-safe.
 */
public final class ConfigurationVersionInvariant {

    private static final int RETAINED_VERSIONS = 1_000;

    private final InvariantMonitor monitor;
    private final Map<String, Long> versionByProcess = new HashMap<>();
    private final Map<Long, String> objectByVersion = new HashMap<>();

    /**
     * Creates the check.
     *
     * @param monitor monitor that counts and records violations
     */
    public ConfigurationVersionInvariant(InvariantMonitor monitor) {
        this.monitor = ArgumentUtils.requireValue(monitor, "monitor");
    }

    /**
     * Checks the configuration version in force at a process.
     *
     * @param process identifier of the process, different for each start
     * @param version version in force, or 0 if there is none
     * @param object name of the object with the content, or empty if unknown
     */
    public void check(String process, long version, String object) {
        Long previous = versionByProcess.put(process, version);
        if (previous != null && previous > version) {
            monitor.recordViolation(
                    Guarantee.G10,
                    "configuration version decreased",
                    "process",
                    process,
                    "from",
                    previous,
                    "version",
                    version);
        }
        if (version > 0 && !object.isEmpty()) {
            String known = objectByVersion.putIfAbsent(version, object);
            if (known != null && !known.equals(object)) {
                monitor.recordViolation(
                        Guarantee.G10,
                        "configuration version has two different contents",
                        "process",
                        process,
                        "version",
                        version,
                        "object",
                        object,
                        "other",
                        known);
            }
            objectByVersion.keySet().removeIf(old -> old < version - RETAINED_VERSIONS);
        }
    }

    /**
     * Removes the state of a process that ended.
     *
     * @param process identifier of the process
     */
    public void removeProcess(String process) {
        versionByProcess.remove(process);
    }
}
