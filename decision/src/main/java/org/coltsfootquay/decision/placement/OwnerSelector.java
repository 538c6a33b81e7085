package org.coltsfootquay.decision.placement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;

/** Choice of the owner that a request is queued at, and the feedback it learns from. */
public interface OwnerSelector {

    /**
     * Chooses an owner.
     *
     * @param service service
     * @param prefixHashes hashes of the prompt's prefixes, longest last
     * @param excluded owners that must not be chosen
     * @param nowNanos current time of the monotonic clock
     * @return owner, or empty when none can be reached
     */
    Optional<RouterId> select(ServiceName service, List<Long> prefixHashes, Set<RouterId> excluded, long nowNanos);

    /**
     * Notes the waiting time that an owner announced.
     *
     * @param service service
     * @param owner owner
     * @param wait waiting time of a request queued now
     * @param nowNanos current time of the monotonic clock
     */
    void recordWaitTime(ServiceName service, RouterId owner, Duration wait, long nowNanos);

    /**
     * Notes that an owner could not be reached or did not answer.
     *
     * @param owner owner
     * @param nowNanos current time of the monotonic clock
     */
    void recordUnreachable(RouterId owner, long nowNanos);

    /**
     * Notes that a server was granted a request with these prefixes, so that it is likely to hold them.
     *
     * @param server server
     * @param prefixHashes hashes of the prompt's prefixes, longest last
     */
    void recordPrefixServed(ServerName server, List<Long> prefixHashes);
}
