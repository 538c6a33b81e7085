package org.coltsfootquay.decision.quarantine;

import java.util.Map;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServerName;

/**
 * Crash of a server, with the prompt parts that it may have been processing for one or more routers.
 *
 * @param server server
 * @param startedMillis start time of the server by its own clock, Unix milliseconds; tells its incarnations apart
 * @param parts shared parts of requests that the server had not begun to answer, each with the key of the last part of
 *     such a request, which tells different requests apart
 */
public record CrashReport(ServerName server, long startedMillis, Map<PartKey, PartKey> parts) {

    /** Validates the values and copies the map. */
    public CrashReport {
        ArgumentUtils.requireValue(server, "server");
        parts = Map.copyOf(parts);
    }
}
