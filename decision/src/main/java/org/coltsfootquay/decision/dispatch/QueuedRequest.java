package org.coltsfootquay.decision.dispatch;

import java.util.List;
import java.util.Set;
import org.coltsfootquay.decision.common.ClassOfWorkName;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;

/**
 * Request submitted to an owner.
 *
 * @param attempt attempt
 * @param entryRouter router that has the caller's connection
 * @param workspace workspace
 * @param service service
 * @param classOfWork class of work
 * @param estimatedInputUnits estimated service units of the input
 * @param estimatedOutputUnits estimated service units of the output
 * @param deadlineNanos time, by the owner's clock, after which the latency target of the class is missed
 * @param patienceEndNanos time, by the owner's clock, after which the request is refused if it is still queued
 * @param prefixHashes hashes of the prompt's prefixes, longest last; a hint for server selection
 * @param excludedServers servers that must not execute this attempt
 * @param resumed whether the request continues a stream that was broken or preempted
 */
public record QueuedRequest(
        RequestAttempt attempt,
        RouterId entryRouter,
        WorkspaceId workspace,
        ServiceName service,
        ClassOfWorkName classOfWork,
        long estimatedInputUnits,
        long estimatedOutputUnits,
        long deadlineNanos,
        long patienceEndNanos,
        List<Long> prefixHashes,
        Set<ServerName> excludedServers,
        boolean resumed) {

    /** Copies the collections. */
    public QueuedRequest {
        prefixHashes = List.copyOf(prefixHashes);
        excludedServers = Set.copyOf(excludedServers);
    }

    /**
     * Returns the estimated service of the whole request.
     *
     * @return service units
     */
    public long estimatedUnits() {
        return estimatedInputUnits + estimatedOutputUnits;
    }
}
