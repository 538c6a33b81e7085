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
 * Checks G7 for the requests of this router: a non-idempotent request is opened on a server only after its record was
 * confirmed, and bytes are written at most once for each idempotency key, servers' own refusals aside.
 *
 * <p>Executions through other routers are covered by the record itself; the stand-ins count them.
 */
public final class AtMostOnceInvariant implements RequestObserver {

    /** Keys remembered: 4 hours of 0.8 non-idempotent requests a second, the share of one of 390 routers. */
    static final int MAX_KEYS = 12_000;

    /** Time for which a key is remembered; shorter than the life of a record, after which a key may be used again. */
    static final long KEY_RETENTION_NANOS = Duration.ofHours(23).toNanos();

    private final InvariantMonitor monitor;
    private final Map<String, Sent> sent = bounded();
    private final Map<RequestId, Boolean> confirmed = bounded();
    private final Map<RequestId, Long> startWrites = bounded();

    /**
     * Creates the check.
     *
     * @param monitor counts and records the violations
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
            if (applied || names(written.result().current(), request)) {
                confirmed.put(request.id(), true);
            }
        } else if (event instanceof RequestEvent.RecordRead read
                && read.result().isRight()) {
            if (names(read.result().get(), request)) {
                confirmed.put(request.id(), true);
            }
        } else if (event instanceof RequestEvent.ServerDeclined declined) {
            Sent former = sent.get(key);
            if (former != null && former.attempt().equals(declined.attempt())) {
                sent.remove(key);
            }
        } else if (event instanceof RequestEvent.SendStarted started) {
            Sent former = sent.put(key, new Sent(started.attempt(), nowNanos));
            if (former != null && nowNanos - former.atNanos() < KEY_RETENTION_NANOS) {
                RequestInvariants.recordViolation(
                        monitor,
                        Guarantee.G7,
                        request.id(),
                        "bytes were written before by attempt " + former.attempt());
            }
        }
        noteStartWrites(request, actions);
        boolean opens = actions.stream().anyMatch(RequestAction.SendToServer.class::isInstance);
        if (opens && !confirmed.containsKey(request.id())) {
            RequestInvariants.recordViolation(
                    monitor, Guarantee.G7, request.id(), "opened on a server before its record existed");
        }
        if (RequestInvariants.isClosed(actions)) {
            confirmed.remove(request.id());
            startWrites.remove(request.id());
        }
    }

    /** Remembers the newest write that claims the record for this request; endings confirm nothing. */
    private void noteStartWrites(CallerRequest request, List<RequestAction> actions) {
        for (RequestAction action : actions) {
            if (action instanceof RequestAction.WriteRecord write
                    && write.write() instanceof RowWrite.Put put
                    && isStartOf(put.value(), request)) {
                startWrites.put(request.id(), write.sequence());
            }
        }
    }

    private static boolean names(Optional<Row> row, CallerRequest request) {
        return row.filter(found -> isStartOf(found.value(), request)).isPresent();
    }

    private static boolean isStartOf(RowValue value, CallerRequest request) {
        return value.optionalText("attempt")
                        .filter(request.id().value()::equals)
                        .isPresent()
                && value.optionalText("state").filter("started"::equals).isPresent();
    }

    private static <K, V> Map<K, V> bounded() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > MAX_KEYS;
            }
        };
    }

    private record Sent(RequestAttempt attempt, long atNanos) {}
}
