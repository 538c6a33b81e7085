package org.coltsfootquay.router.state;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Fake store for which a test provides each reply. */
final class FakeTableStore implements TableStore {

    /** Pending call. */
    record Call(String kind, long afterRevision, Duration maxWait, Consumer<StoreReply> callback) {}

    final List<WatchedTable> reconnectedWatches = new ArrayList<>();
    private final Map<WatchedTable, Deque<Call>> calls = new EnumMap<>(WatchedTable.class);

    FakeTableStore() {
        for (WatchedTable table : WatchedTable.values()) {
            calls.put(table, new ArrayDeque<>());
        }
    }

    Call nextCall(WatchedTable table) {
        Call call = calls.get(table).poll();
        if (call == null) {
            throw new AssertionError("no pending call for table " + table);
        }
        return call;
    }

    int pendingCalls(WatchedTable table) {
        return calls.get(table).size();
    }

    @Override
    public void read(WatchedTable table, Consumer<StoreReply> callback) {
        calls.get(table).add(new Call("read", 0, Duration.ZERO, callback));
    }

    @Override
    public void watch(WatchedTable table, long afterRevision, Duration wait, Consumer<StoreReply> callback) {
        calls.get(table).add(new Call("watch", afterRevision, wait, callback));
    }

    @Override
    public void check(WatchedTable table, long afterRevision, Duration timeout, Consumer<StoreReply> callback) {
        calls.get(table).add(new Call("check", afterRevision, timeout, callback));
    }

    @Override
    public void putRouter(String key, byte[] value, Consumer<StoreReply> callback) {
        callback.accept(new StoreReply.Rows(List.of(), 0));
    }

    @Override
    public void deleteRouter(String key, Consumer<StoreReply> callback) {
        callback.accept(new StoreReply.Rows(List.of(), 0));
    }

    @Override
    public void reconnectWatch(WatchedTable table) {
        reconnectedWatches.add(table);
    }
}
