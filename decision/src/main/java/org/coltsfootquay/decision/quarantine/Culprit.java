package org.coltsfootquay.decision.quarantine;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Prompt parts to which crashes are attributed.
 *
 * @param parts parts that were involved in the same crashes; requests are affected that contain all of them
 * @param servers servers that crashed, least recently crashed first
 * @param lastCrashNanos time of the latest crash
 * @param singleRequest true if the only part is the last one of one request or session
 */
record Culprit(Set<PartKey> parts, List<String> servers, long lastCrashNanos, boolean singleRequest) {

    Culprit {
        parts = Set.copyOf(parts);
        servers = List.copyOf(servers);
    }

    int crashes() {
        return servers.size();
    }

    /** Returns the parts for logs and messages. */
    String partNames() {
        return parts.stream()
                .sorted(Comparator.comparingLong(PartKey::hash))
                .map(PartKey::toString)
                .collect(Collectors.joining(","));
    }
}
