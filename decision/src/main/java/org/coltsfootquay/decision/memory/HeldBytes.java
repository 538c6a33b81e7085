package org.coltsfootquay.decision.memory;

import java.util.Optional;
import org.coltsfootquay.decision.common.ServiceName;

/** Account of the bytes that a router holds for one message; not thread-safe. */
public final class HeldBytes {

    private final ByteBudget budget;
    private final ServiceName service;
    private Optional<Runnable> eviction;
    private long bytes;
    private boolean closed;

    HeldBytes(ByteBudget budget, ServiceName service, Optional<Runnable> eviction) {
        this.budget = budget;
        this.service = service;
        this.eviction = eviction;
    }

    /**
     * Changes the bytes that the message holds.
     *
     * @param newBytes bytes from now on
     * @return false if there is no room for more; the account is unchanged then
     */
    public boolean resize(long newBytes) {
        if (closed) {
            return false;
        }
        if (newBytes == bytes) {
            return true;
        }
        if (!budget.resize(this, newBytes)) {
            return false;
        }
        bytes = newBytes;
        return true;
    }

    /** Excludes the message from eviction, because it is complete and its bytes cannot be released at will. */
    public void pin() {
        eviction = Optional.empty();
    }

    /** Releases all bytes for good; does nothing if that was done before. */
    public void release() {
        if (!closed) {
            resize(0);
            closed = true;
        }
    }

    ServiceName service() {
        return service;
    }

    long bytes() {
        return bytes;
    }

    boolean closed() {
        return closed;
    }

    boolean evictable() {
        return eviction.isPresent();
    }

    /** Releases the bytes and tells the owner that it has to give up the message. */
    void evict() {
        release();
        eviction.ifPresent(Runnable::run);
    }
}
