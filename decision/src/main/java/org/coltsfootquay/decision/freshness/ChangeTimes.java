package org.coltsfootquay.decision.freshness;

import java.time.Duration;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Times within which a change must be in force at every router, from its acknowledgement by the store on.
 *
 * @param operator time for the operator's table: configuration, evacuations and keys
 * @param servers time for the table of backend servers
 */
public record ChangeTimes(Duration operator, Duration servers) {

    /** Times of a platform that states none. */
    public static final ChangeTimes DEFAULT = new ChangeTimes(Duration.ofSeconds(2), Duration.ofSeconds(2));

    /** Checks that both times are positive. */
    public ChangeTimes {
        ArgumentUtils.requirePositive(operator.toNanos(), "operator");
        ArgumentUtils.requirePositive(servers.toNanos(), "servers");
    }
}
