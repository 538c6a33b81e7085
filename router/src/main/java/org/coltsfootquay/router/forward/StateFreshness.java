package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.Optional;

/** Freshness of the state by which requests are routed; used on one event loop. */
public interface StateFreshness {

    /** Freshness of a router that cannot tell how old its state is. */
    StateFreshness UNKNOWN = new StateFreshness() {
        @Override
        public Optional<Duration> overdueAge() {
            return Optional.empty();
        }

        @Override
        public void runWhenFresh(Runnable task) {
            task.run();
        }
    };

    /**
     * Returns the time since the configuration was last known to be current, if changes acknowledged in that time may
     * be overdue.
     *
     * @return age, empty while no change can be overdue or the age is unknown
     */
    Optional<Duration> overdueAge();

    /**
     * Runs a task as soon as the state includes every change that must be in force.
     *
     * @param task task; runs immediately unless the state may be too old, and in any case after a limited time, since
     *     the store may be out of reach
     */
    void runWhenFresh(Runnable task);
}
