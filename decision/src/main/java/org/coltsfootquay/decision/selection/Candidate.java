package org.coltsfootquay.decision.selection;

import java.time.Duration;
import org.coltsfootquay.decision.backend.BackendEntry;

/**
 * Server that was chosen for a request.
 *
 * @param entry server
 * @param newTokens prompt tokens that it has to read
 * @param expected expected time to the first event or to the answer
 * @param queue part of that time which the request would wait whatever its own size
 */
public record Candidate(BackendEntry entry, long newTokens, Duration expected, Duration queue) {}
