package org.coltsfootquay.decision.quarantine;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Crash of a server, with the prompt parts that it may have been processing for one or more routers.
 *
 * @param server server
 * @param startedMillis start time of the server by its own clock, Unix milliseconds; tells its incarnations apart
 * @param parts parts of requests that the server had not begun to answer
 */
public record CrashReport(ServerName server, long startedMillis, List<UnansweredPart> parts) {

    /** Validates the values and copies the list. */
    public CrashReport {
        ArgumentUtils.requireValue(server, "server");
        parts = List.copyOf(parts);
    }

    /**
     * Returns the keys of the parts.
     *
     * @return keys, each once
     */
    public Collection<PartKey> partKeys() {
        Set<PartKey> keys = new LinkedHashSet<>();
        parts.forEach(part -> keys.add(part.part()));
        return keys;
    }
}
