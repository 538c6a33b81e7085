package org.coltsfootquay.decision.selection;

import java.time.Duration;
import org.coltsfootquay.decision.backend.BackendEntry;

/**
 * Server that was selected for a request.
 *
 * @param entry server
 * @param prefillTokens prompt tokens that it has to prefill
 * @param expectedLatency expected time to the first event or to the whole response
 * @param queueTime part of that time that does not depend on the size of the request
 */
public record SelectedServer(BackendEntry entry, long prefillTokens, Duration expectedLatency, Duration queueTime) {}
