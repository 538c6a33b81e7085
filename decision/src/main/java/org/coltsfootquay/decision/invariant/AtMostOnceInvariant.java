package org.coltsfootquay.decision.invariant;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.request.CallerRequest;
import org.coltsfootquay.decision.request.RequestAction;
import org.coltsfootquay.decision.request.RequestEvent;
import org.coltsfootquay.decision.request.RequestObserver;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowValue;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.WriteOutcome;

/**
 * Checks G7 for the requests of this router: a non-idempotent request is sent to a server only after its record was
 * confirmed, and bytes are written at most once per idempotency key, not counting attempts that the server declined.
 *
 * <p>Executions through other routers are prevented by the record itself; the stand-in servers count them.
 */
public final class AtMostOnceInvariant implements RequestObserver {

    /** Maximum number of retained keys: 4 h at 0.8 non-idempotent requests/s, the share of one of 390 routers. */
    static final int MAX_KEYS = 12_000;

    /** Retention time of a key; shorter than the time to live of a record, after which a key may be reused. */
    static final long KEY_RETENTION_NANOS = Duration.ofHours(23).toNanos();

    private final InvariantMonitor monitor;
    private final Map<String, SentAttempt> sentAttempts = boundedMap();
    private final Map<RequestId, Boolean> confirmedRecords = boundedMap();
    private final Map<RequestId, Long> startWrites = boundedMap();

    /**
     * Creates the check.
     *
     * @param monitor monitor that counts and records violations
     */
    public AtMostOnceInvariant(InvariantMonitor monitor) {
        this.monitor = monitor;
    }

    @Override
    public synchronized void onEventHandled(
            CallerRequest request, RequestEvent event, List<RequestAction> actions, long nowNanos) {
        if (!request.atMostOnce()) {
            return;
        }
        String key =
                request.workspace() + "/" + request.idempotency().orElseThrow().key();
        if (event instanceof RequestEvent.RecordWritten written) {
            boolean applied = written.result().outcome() == WriteOutcome.APPLIED
                    && startWrites.getOrDefault(request.id(), -1L) == written.sequence();
            if (applied || isClaimedBy(written.result().current(), request)) {
                confirmedRecords.put(request.id(), true);
            }
        } else if (event instanceof RequestEvent.RecordRead read
                && read.result().isRight()) {
            if (isClaimedBy(read.result().get(), request)) {
                confirmedRecords.put(request.id(), true);
            }
        } else if (event instanceof RequestEvent.ServerDeclined declined) {
            SentAttempt previous = sentAttempts.get(key);
            if (previous != null && previous.attempt().equals(declined.attempt())) {
                sentAttempts.remove(key);
            }
        } else if (event instanceof RequestEvent.SendStarted started) {
            SentAttempt previous = sentAttempts.put(key, new SentAttempt(started.attempt(), nowNanos));
            if (previous != null && nowNanos - previous.sentNanos() < KEY_RETENTION_NANOS) {
                RequestInvariants.recordViolation(
                        monitor,
                        Guarantee.G7,
                        request.id(),
                        "bytes were already written by attempt " + previous.attempt());
            }
        }
        trackStartWrites(request, actions);
        boolean sendsToServer = actions.stream().anyMatch(RequestAction.SendToServer.class::isInstance);
        if (sendsToServer && !confirmedRecords.containsKey(request.id())) {
            RequestInvariants.recordViolation(
                    monitor, Guarantee.G7, request.id(), "sent to a server before its record was confirmed");
        }
        if (RequestInvariants.isClosed(actions)) {
            confirmedRecords.remove(request.id());
            startWrites.remove(request.id());
        }
    }

    /** Stores the newest write that claims the record for this request; writes of a final state confirm nothing. */
    private void trackStartWrites(CallerRequest request, List<RequestAction> actions) {
        for (RequestAction action : actions) {
            if (action instanceof RequestAction.WriteRecord write
                    && write.write() instanceof RowWrite.Put put
                    && isStartRecordOf(put.value(), request)) {
                startWrites.put(request.id(), write.sequence());
            }
        }
    }

    private static boolean isClaimedBy(Optional<Row> row, CallerRequest request) {
        return row.filter(found -> isStartRecordOf(found.value(), request)).isPresent();
    }

    private static boolean isStartRecordOf(RowValue value, CallerRequest request) {
        return value.optionalText("attempt")
                        .filter(request.id().value()::equals)
                        .isPresent()
                && value.optionalText("state").filter("started"::equals).isPresent();
    }

    private static <K, V> Map<K, V> boundedMap() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > MAX_KEYS;
            }
        };
    }

    private record SentAttempt(RequestAttempt attempt, long sentNanos) {}
}
