package org.coltsfootquay.decision.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.membership.LeaseState;
import org.coltsfootquay.decision.membership.Member;
import org.coltsfootquay.decision.membership.MemberRow;
import org.coltsfootquay.decision.ownership.ServerRow.LapsedHolder;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowCondition;
import org.coltsfootquay.decision.store.RowWrite;
import org.coltsfootquay.decision.store.StoreWatcher;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.store.WriteOutcome;
import org.coltsfootquay.decision.store.WriteResult;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Sends conditional writes of server rows, with at most one in flight for each server and a bounded total.
 *
 * <p>Writes with an unknown outcome are not resolved here: the next read of the row shows the outcome. Every write is
 * conditional on the revision of the row, so at most one of several writes against the same revision is applied.
 */
final class ServerRowWriter {

    private final TableStore store;
    private final StoreWatcher watcher;
    private final TimerService timer;
    private final OwnershipSettings settings;
    private final Map<ServerName, Long> nextWriteNanos = new HashMap<>();
    private int inFlight;
    private boolean stopped;
    private Runnable stopCallback;

    ServerRowWriter(TableStore store, StoreWatcher watcher, TimerService timer, OwnershipSettings settings) {
        this.store = store;
        this.watcher = watcher;
        this.timer = timer;
        this.settings = settings;
    }

    boolean canWrite(ServerName server) {
        return !stopped
                && inFlight < settings.maxConcurrentWrites()
                && timer.nowNanos() >= nextWriteNanos.getOrDefault(server, Long.MIN_VALUE);
    }

    void claim(ServerName server, ClaimPlan plan, RouterId self, LeaseState lease) {
        long fencing = plan.expectedRow()
                        .map(row -> ServerRow.of(row.value()).fencingNumber())
                        .orElse(0L)
                + 1;
        ServerRow content = new ServerRow(Optional.of(self), lease.incarnation(), fencing, false, plan.lapsedHolders());
        List<RowWrite> writes = new ArrayList<>();
        writes.add(put(server, content, plan.expectedRow()));
        writes.add(new RowWrite.Check(MemberRow.key(self), new RowCondition.RevisionIs(lease.rowRevision())));
        plan.holderKey().filter(key -> !key.equals(MemberRow.key(self))).ifPresent(key -> {
            RowCondition condition = plan.newerHolderRow()
                    .<RowCondition>map(row -> new RowCondition.RevisionIs(row.revision()))
                    .orElse(new RowCondition.AbsentOrExpired());
            writes.add(new RowWrite.Check(key, condition));
        });
        send(server, content, writes, () -> {});
    }

    void handOver(ServerName server, Row row, Optional<Row> target, Runnable onApplied) {
        ServerRow old = ServerRow.of(row.value());
        Optional<Member> member = target.map(found -> MemberRow.of(found).member());
        ServerRow content = new ServerRow(
                member.map(Member::id),
                member.map(Member::incarnation).orElse(0L),
                old.fencingNumber() + 1,
                true,
                old.lapsed());
        List<RowWrite> writes = new ArrayList<>();
        writes.add(put(server, content, Optional.of(row)));
        target.ifPresent(
                found -> writes.add(new RowWrite.Check(found.key(), new RowCondition.RevisionIs(found.revision()))));
        send(server, content, writes, onApplied);
    }

    /** Rewrites the row unchanged, so that no earlier write against the same revision can still be applied. */
    void rewriteUnchanged(ServerName server, Row row) {
        prune(server, row, ServerRow.of(row.value()).lapsed());
    }

    void prune(ServerName server, Row row, List<LapsedHolder> lapsed) {
        ServerRow old = ServerRow.of(row.value());
        ServerRow content =
                new ServerRow(old.holder(), old.incarnation(), old.fencingNumber(), old.handedOver(), lapsed);
        send(server, content, List.of(put(server, content, Optional.of(row))), () -> {});
    }

    void stop(Runnable callback) {
        stopped = true;
        if (inFlight == 0) {
            callback.run();
        } else {
            stopCallback = callback;
        }
    }

    private static RowWrite put(ServerName server, ServerRow content, Optional<Row> expectedRow) {
        RowCondition condition = expectedRow
                .<RowCondition>map(row -> new RowCondition.RevisionIs(row.revision()))
                .orElse(new RowCondition.Absent());
        return new RowWrite.Put(ServerRow.key(server), content.toValue(), condition, Optional.empty());
    }

    private void send(ServerName server, ServerRow content, List<RowWrite> writes, Runnable onApplied) {
        inFlight++;
        nextWriteNanos.put(server, Long.MAX_VALUE);
        long sentNanos = timer.nowNanos();
        store.writeAtomically(writes, results -> {
            inFlight--;
            WriteResult result = results.get(0);
            nextWriteNanos.put(server, timer.nowNanos() + settings.retryDelay().toNanos());
            if (result.outcome() == WriteOutcome.APPLIED || result.current().isPresent()) {
                watcher.recordResponse(sentNanos);
            }
            if (result.outcome() == WriteOutcome.APPLIED) {
                nextWriteNanos.remove(server);
                watcher.updateRow(new Row(ServerRow.key(server), content.toValue(), result.revision(), false, false));
                onApplied.run();
            } else {
                results.stream().flatMap(entry -> entry.current().stream()).forEach(watcher::updateRow);
                watcher.requestPoll();
            }
            if (stopped && inFlight == 0 && stopCallback != null) {
                stopCallback.run();
                stopCallback = null;
            }
        });
    }
}
