package org.coltsfootquay.decision.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;

/** Bounds of a flow: its patience, the owners and servers it excludes, its placements, lapsed grants and retries. */
final class AttemptLimits {

    /** Grants that may lapse before the request is refused. */
    static final int MAX_EXPIRED_GRANTS = 5;

    /** Owners that a request is queued at between two sends; bounds redirects in a circle. */
    static final int MAX_PLACEMENTS = 16;

    /** Retries of one request; the budget of the service is usually the tighter bound. */
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

    /** Gives a request that was sent once the full patience of its class again. */
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

    /** Keeps the failure of a send; it is the reason given if no other server is found. */
    void recordFailure(ErrorCode failure, ServerName server) {
        lastFailure = failure;
        excludedServers.add(server);
    }

    boolean allowExpiredGrant() {
        return ++expiredGrants <= MAX_EXPIRED_GRANTS;
    }

    /** Tells why the request may not be queued again, if so. */
    Optional<ErrorCode> validatePlacement(long nowNanos) {
        if (environment.cutOff()) {
            return Optional.of(ErrorCode.ROUTER_CUT_OFF);
        }
        boolean mayPlace = placements < MAX_PLACEMENTS && nowNanos < patienceEndNanos;
        return mayPlace ? Optional.empty() : Optional.of(lastFailure == null ? ErrorCode.NO_CAPACITY : lastFailure);
    }

    /**
     * Returns the preferred owner unless it is excluded, else the one that placement chooses.
     *
     * @param preferred owner that knows the request, or that another owner named
     * @param nowNanos current time
     * @return owner, or empty when none is left; all are then allowed again
     */
    Optional<RouterId> selectOwner(Optional<RouterId> preferred, long nowNanos) {
        Optional<RouterId> chosen = preferred
                .filter(router -> !excludedOwners.contains(router))
                .or(() -> environment
                        .ownerSelector()
                        .select(request.service(), request.prefixHashes(), excludedOwners, nowNanos));
        if (chosen.isEmpty()) {
            // Nothing else is left: what failed before may have recovered.
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
     * Takes a retry from the budget.
     *
     * @param anyOutput whether the caller's answer has begun; the deadline is then that of the whole answer, if any
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
