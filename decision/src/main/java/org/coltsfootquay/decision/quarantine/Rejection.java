package org.coltsfootquay.decision.quarantine;

import java.time.Duration;

/**
 * Reason for which a request must not be sent to any server.
 *
 * @param parts names of the quarantined parts of its prompt
 * @param crashes number of crashes that are attributed to them
 * @param settled false if the evidence does not suffice to tell the caller that its request is at fault: an answer may
 *     still acquit the parts, or two failures may have met the same request by chance
 * @param retryAfter time until the request may be sent or the decision is settled; zero if settled
 */
public record Rejection(String parts, int crashes, boolean settled, Duration retryAfter) {}
