package org.coltsfootquay.decision.memory;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.ServiceName;

/**
 * Bytes that a router may hold at the same time for all messages in one direction; not thread-safe.
 *
 * <p>A service may hold as much as it leaves free for all others: one greedy service gets half of the budget, the next
 * one a quarter, and there is always room for a further one. When a service has reached its limit, its largest message
 * that may be evicted makes room for its other messages. A message that is never evicted leaves half of the room of its
 * service to smaller ones.
 */
public final class ByteBudget {

    private final long totalBytes;
    private final Map<ServiceName, Set<HeldBytes>> holders = new HashMap<>();
    private long usedBytes;

    /**
     * Creates an unused budget.
     *
     * @param totalBytes bytes that all services together may hold
     */
    public ByteBudget(long totalBytes) {
        this.totalBytes = ArgumentUtils.requirePositive(totalBytes, "totalBytes");
    }

    /**
     * Starts to account for a message that holds nothing yet.
     *
     * @param service service that receives or sends the message
     * @param eviction called when the message has made room for another one; its bytes are released by then
     * @return account of the message
     */
    public HeldBytes open(ServiceName service, Runnable eviction) {
        return new HeldBytes(this, service, Optional.of(eviction));
    }

    /**
     * Starts to account for a message that is never evicted and holds nothing yet.
     *
     * @param service service that receives or sends the message
     * @return account of the message
     */
    public HeldBytes open(ServiceName service) {
        return new HeldBytes(this, service, Optional.empty());
    }

    /**
     * Returns the bytes that are held.
     *
     * @return bytes
     */
    public long usedBytes() {
        return usedBytes;
    }

    /** Changes what a message holds; returns false, and changes nothing, if there is no room. */
    boolean resize(HeldBytes message, long bytes) {
        long added = bytes - message.bytes();
        long required = message.evictable() ? added : 2 * added;
        while (added > 0 && required > room(message.service())) {
            Optional<HeldBytes> largest = largestEvictable(message.service());
            if (largest.isEmpty() || largest.get() == message || largest.get().bytes() <= bytes) {
                return false;
            }
            HeldBytes evicted = largest.get();
            evicted.evict();
            if (message.closed()) {
                return false;
            }
        }
        usedBytes += added;
        Set<HeldBytes> messages = holders.computeIfAbsent(message.service(), name -> new LinkedHashSet<>());
        if (bytes > 0) {
            messages.add(message);
        } else {
            messages.remove(message);
            if (messages.isEmpty()) {
                holders.remove(message.service());
            }
        }
        return true;
    }

    /** Returns the bytes that a service may take in addition, so that it then holds what it leaves free. */
    private long room(ServiceName service) {
        return (totalBytes - usedBytes - serviceBytes(service)) / 2;
    }

    private long serviceBytes(ServiceName service) {
        return holders.getOrDefault(service, Set.of()).stream()
                .mapToLong(HeldBytes::bytes)
                .sum();
    }

    private Optional<HeldBytes> largestEvictable(ServiceName service) {
        return holders.getOrDefault(service, Set.of()).stream()
                .filter(HeldBytes::evictable)
                .max(Comparator.comparingLong(HeldBytes::bytes));
    }
}
