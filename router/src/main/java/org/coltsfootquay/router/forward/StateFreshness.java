package org.coltsfootquay.router.forward;

import java.time.Duration;
import java.util.Optional;

/** Freshness of the state by which requests are routed; used on one event loop. */
public interface StateFreshness {

    /** Freshness of a router that cannot tell how old its state is. */
    StateFreshness UNKNOWN = Optional::empty;

    /**
     * Returns the time since the configuration was last known to be current, if changes acknowledged in that time may
     * be overdue.
     *
     * @return age, empty while no change can be overdue or the age is unknown
     */
    Optional<Duration> overdueAge();
}
