package org.coltsfootquay.cli.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Service that each workspace received and the calls it has outstanding; thread-safe. */
public final class ServiceRecorder {

    private final Map<String, LongAdder> served = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> outstanding = new ConcurrentHashMap<>();

    /**
     * Adds service.
     *
     * @param workspace workspace
     * @param units service units
     */
    public void served(String workspace, long units) {
        served.computeIfAbsent(workspace, name -> new LongAdder()).add(units);
    }

    /**
     * Changes the number of outstanding calls.
     *
     * @param workspace workspace
     * @param change 1 for a call that begins, -1 for one that ends
     */
    public void waiting(String workspace, int change) {
        outstanding.computeIfAbsent(workspace, name -> new AtomicInteger()).addAndGet(change);
    }

    /**
     * Returns the service received so far.
     *
     * @return service units by workspace
     */
    public Map<String, Long> served() {
        Map<String, Long> result = new TreeMap<>();
        served.forEach((workspace, units) -> result.put(workspace, units.sum()));
        return result;
    }

    /**
     * Returns the calls outstanding now.
     *
     * @return calls by workspace
     */
    public Map<String, Integer> outstanding() {
        Map<String, Integer> result = new TreeMap<>();
        outstanding.forEach((workspace, calls) -> result.put(workspace, calls.get()));
        return result;
    }
}
