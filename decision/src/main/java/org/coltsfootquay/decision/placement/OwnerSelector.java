package org.coltsfootquay.decision.placement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;

/** Selects the owner that a request is queued at, using feedback from earlier requests. */
public interface OwnerSelector {

    /**
     * Selects an owner.
     *
     * @param service service
     * @param prefixHashes hashes of the prompt's prefixes, longest last
     * @param excluded owners that must not be selected
     * @param nowNanos current time of the monotonic clock
     * @return owner, or empty if no owner can be reached
     */
    Optional<RouterId> select(ServiceName service, List<Long> prefixHashes, Set<RouterId> excluded, long nowNanos);

    /**
     * Records the waiting time that an owner announced.
     *
     * @param service service
     * @param owner owner
     * @param wait waiting time of a request queued now
     * @param nowNanos current time of the monotonic clock
     */
    void recordWaitTime(ServiceName service, RouterId owner, Duration wait, long nowNanos);

    /**
     * Records that an owner could not be reached or did not answer.
     *
     * @param owner owner
     * @param nowNanos current time of the monotonic clock
     */
    void recordUnreachable(RouterId owner, long nowNanos);

    /**
     * Records that a server was granted a request with these prefixes, so that it has probably cached them.
     *
     * @param server server
     * @param prefixHashes hashes of the prompt's prefixes, longest last
     */
    void recordPrefixServed(ServerName server, List<Long> prefixHashes);
}
