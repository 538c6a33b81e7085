package org.coltsfootquay.decision.selection;

import java.time.Duration;
import org.coltsfootquay.decision.backend.BackendEntry;

/**
 * Server that was chosen for a request.
 *
 * @param entry server
 * @param prefillTokens prompt tokens that it has to read
 * @param expectedLatency expected time to the first event or to the answer
 * @param queueTime part of that time which the request would wait whatever its own size
 */
public record SelectedServer(BackendEntry entry, long prefillTokens, Duration expectedLatency, Duration queueTime) {}
