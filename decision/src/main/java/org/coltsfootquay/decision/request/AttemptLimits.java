package org.coltsfootquay.decision.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;

/** Limits the attempts of a request: waiting time, placements, expired grants, retries, excluded owners and servers. */
final class AttemptLimits {

    /** Number of grants that may expire before the request is refused. */
    static final int MAX_EXPIRED_GRANTS = 5;

    /** Maximum number of placements between two sends; ends redirect loops. */
    static final int MAX_PLACEMENTS = 16;

    /** Maximum number of retries of one request; the retry budget of the service is usually the lower limit. */
    static final int MAX_RETRIES = 4;

    private final CallerRequest request;
    private final RequestEnvironment environment;
    private final Set<RouterId> excludedOwners = new HashSet<>(2);
    private final Set<ServerName> excludedServers = new HashSet<>(2);
    private long admittedNanos;
    private long patienceEndNanos;
    private int placements;
    private int expiredGrants;
    private ErrorCode lastFailure;
    private int retries;

    AttemptLimits(CallerRequest request, RequestEnvironment environment) {
        this.request = request;
        this.environment = environment;
    }

    void start(long nowNanos) {
        admittedNanos = nowNanos;
        resetPatience(nowNanos);
    }

    /** Restarts the patience and the placement count, at admission and after a send that must be repeated. */
    void resetPatience(long nowNanos) {
        placements = 0;
        patienceEndNanos = nowNanos + request.classOfWork().patience().toNanos();
    }

    long patienceEndNanos() {
        return patienceEndNanos;
    }

    int retries() {
        return retries;
    }

    void exclude(RouterId owner) {
        excludedOwners.add(owner);
    }

    void exclude(ServerName server) {
        excludedServers.add(server);
    }

    /** Records the failure of a send, which becomes the reported error if no other server is found. */
    void recordFailure(ErrorCode failure, ServerName server) {
        lastFailure = failure;
        excludedServers.add(server);
    }

    /** Counts an expired grant and returns whether the request may wait for another one. */
    boolean allowExpiredGrant() {
        return ++expiredGrants <= MAX_EXPIRED_GRANTS;
    }

    /** Returns the error that prevents another placement, or empty if the request may be placed. */
    Optional<ErrorCode> validatePlacement(long nowNanos) {
        if (environment.isIsolated()) {
            return Optional.of(ErrorCode.ROUTER_CUT_OFF);
        }
        boolean allowed = placements < MAX_PLACEMENTS && nowNanos < patienceEndNanos;
        return allowed ? Optional.empty() : Optional.of(lastFailure == null ? ErrorCode.NO_CAPACITY : lastFailure);
    }

    /**
     * Returns the preferred owner unless it is excluded, else the one that the owner selector chooses.
     *
     * @param preferred owner that held the request before, or that another owner redirected it to
     * @param nowNanos current time
     * @return owner, or empty if all are excluded; the exclusions are then cleared
     */
    Optional<RouterId> selectOwner(Optional<RouterId> preferred, long nowNanos) {
        Optional<RouterId> chosen = preferred
                .filter(router -> !excludedOwners.contains(router))
                .or(() -> environment
                        .ownerSelector()
                        .select(request.service(), request.prefixHashes(), excludedOwners, nowNanos));
        if (chosen.isEmpty()) {
            // No alternative is left, and the excluded owners and servers may have recovered.
            excludedOwners.clear();
            excludedServers.clear();
        }
        return chosen;
    }

    RequestAction createEnqueueAction(RouterId owner, RequestAttempt attempt, boolean resumed, long nowNanos) {
        placements++;
        long targetEnd =
                admittedNanos + request.classOfWork().target().startWithin().toNanos();
        return new RequestAction.EnqueueAtOwner(
                owner,
                attempt,
                Set.copyOf(excludedServers),
                resumed,
                Duration.ofNanos(targetEnd - nowNanos),
                Duration.ofNanos(patienceEndNanos - nowNanos));
    }

    /**
     * Reserves a retry from the retry budget.
     *
     * @param anyOutput whether output was received; the deadline is then that of the whole response, if any
     * @param nowNanos current time
     * @return delay in nanoseconds, or -1 if no retry is allowed
     */
    long reserveRetry(boolean anyOutput, long nowNanos) {
        if (retries >= MAX_RETRIES) {
            return -1;
        }
        long deadline = request.classOfWork()
                .target()
                .finishedWithin()
                .map(finish -> Math.max(admittedNanos + finish.toNanos(), patienceEndNanos))
                .orElse(anyOutput ? Long.MAX_VALUE : patienceEndNanos);
        long delay = environment.retryPolicy().tryRetry(request.service(), retries + 1, deadline, nowNanos);
        if (delay >= 0) {
            retries++;
        }
        return delay;
    }
}
