package org.coltsfootquay.standin.fault;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootquay.standin.http.JsonUtils;

/** Named counters of a stand-in; may be read from any thread. */
public final class Counters {

    private final Map<String, AtomicLong> values = new ConcurrentHashMap<>();

    /**
     * Adds one.
     *
     * @param name name of the counter
     */
    public void increment(String name) {
        add(name, 1);
    }

    /**
     * Adds a number.
     *
     * @param name name of the counter
     * @param amount number to add
     */
    public void add(String name, long amount) {
        counter(name).addAndGet(amount);
    }

    /**
     * Raises a counter to a number; keeps it if it is higher.
     *
     * @param name name of the counter
     * @param value number
     */
    public void raise(String name, long value) {
        counter(name).accumulateAndGet(value, Math::max);
    }

    /**
     * Sets a counter to a number.
     *
     * @param name name of the counter
     * @param value number
     */
    public void set(String name, long value) {
        counter(name).set(value);
    }

    /**
     * Returns the value of a counter.
     *
     * @param name name of the counter
     * @return value, 0 if nothing was counted
     */
    public long value(String name) {
        AtomicLong counter = values.get(name);
        return counter == null ? 0 : counter.get();
    }

    /**
     * Returns all counters.
     *
     * @return JSON object with one field for each counter, in order of name
     */
    public ObjectNode toJson() {
        ObjectNode node = JsonUtils.object();
        new TreeMap<>(values).forEach((name, value) -> node.put(name, value.get()));
        return node;
    }

    private AtomicLong counter(String name) {
        return values.computeIfAbsent(name, key -> new AtomicLong());
    }
}
