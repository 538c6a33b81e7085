package org.coltsfootquay.standin.platform;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** Facts about VMs and the lagging view of them that the platform publishes. All methods are atomic. */
public final class VmRegistry {

    private record Change(long atNanos, VmRecord vm) {}

    private final LongSupplier nanoClock;
    private final Deque<Change> pending = new ArrayDeque<>();
    private final Map<String, VmRecord> published = new TreeMap<>();

    VmRegistry(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /**
     * Records a fact; the published list shows it after the lag.
     *
     * @param vm newest state of the VM
     */
    public synchronized void put(VmRecord vm) {
        pending.add(new Change(nanoClock.getAsLong(), vm));
    }

    /**
     * Returns the published list.
     *
     * @param lagMillis lag in milliseconds
     * @return entries in order of name
     */
    public synchronized Collection<VmRecord> published(long lagMillis) {
        long until = nanoClock.getAsLong() - lagMillis * 1_000_000;
        while (!pending.isEmpty() && pending.peek().atNanos() - until <= 0) {
            VmRecord vm = pending.remove().vm();
            published.put(vm.name(), vm);
        }
        return List.copyOf(published.values());
    }
}
