package org.coltsfootquay.decision.blackboard;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Shared board of immutable snapshots, one for each topic.
 *
 * <p>Thread-safe. A read is one atomic load of a {@link Cell}; components on the request path keep the cell and read it
 * for each request (read-copy-update).
 */
public final class Blackboard {

    private final ConcurrentHashMap<String, Cell<?>> cells = new ConcurrentHashMap<>();

    /**
     * Returns the cell of a topic, created with the topic's initial value on first use.
     *
     * @param topic topic
     * @param <T> type of the value
     * @return the cell
     */
    @SuppressWarnings("unchecked")
    public <T> Cell<T> cell(Topic<T> topic) {
        ArgumentUtils.requireValue(topic, "topic");
        return (Cell<T>) cells.computeIfAbsent(topic.name(), name -> new Cell<>(topic.initialValue()));
    }

    /**
     * Reads the current snapshot of a topic.
     *
     * @param topic topic
     * @param <T> type of the value
     * @return the snapshot, never null
     */
    public <T> T read(Topic<T> topic) {
        return cell(topic).read();
    }

    /**
     * Replaces the snapshot of a topic and notifies its subscribers on the calling thread.
     *
     * @param topic topic
     * @param value new snapshot, not null
     * @param <T> type of the value
     */
    public <T> void write(Topic<T> topic, T value) {
        cell(topic).write(value);
    }

    /**
     * Holder of the snapshot of one topic.
     *
     * @param <T> type of the value
     */
    public static final class Cell<T> {

        private final AtomicReference<T> value;
        private final List<Consumer<T>> subscribers = new CopyOnWriteArrayList<>();

        private Cell(T initial) {
            this.value = new AtomicReference<>(initial);
        }

        /**
         * Reads the snapshot.
         *
         * @return the snapshot, never null
         */
        public T read() {
            return value.get();
        }

        /**
         * Replaces the snapshot and notifies the subscribers on the calling thread.
         *
         * @param newValue new snapshot, not null
         */
        public void write(T newValue) {
            value.set(ArgumentUtils.requireValue(newValue, "value"));
            notifySubscribers(newValue);
        }

        /**
         * Replaces the snapshot by a function of itself, atomically, and notifies the subscribers.
         *
         * @param update function without side effects; it may run more than once
         * @return the new snapshot
         */
        public T update(UnaryOperator<T> update) {
            T newValue = value.updateAndGet(update);
            notifySubscribers(newValue);
            return newValue;
        }

        /**
         * Subscribes to replacements of the snapshot.
         *
         * @param subscriber called with each new snapshot on the writing thread; must not block
         */
        public void subscribe(Consumer<T> subscriber) {
            subscribers.add(ArgumentUtils.requireValue(subscriber, "subscriber"));
        }

        private void notifySubscribers(T newValue) {
            subscribers.forEach(subscriber -> subscriber.accept(newValue));
        }
    }
}
