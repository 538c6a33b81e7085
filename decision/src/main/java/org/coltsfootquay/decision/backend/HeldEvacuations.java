package org.coltsfootquay.decision.backend;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Evacuations that were in force when the store returned from an older copy; not thread-safe.
 *
 * <p>The copy may lack an evacuation until the operator has written it again. From then on, the store's rows count.
 */
public final class HeldEvacuations {

    /** Time for the operator to write an evacuation again, after which the store's rows alone count. */
    public static final Duration HOLD_TIME = Duration.ofSeconds(5);

    private Set<ZoneName> zones = Set.of();
    private long holdUntilNanos = Long.MIN_VALUE;

    /** Creates an instance that holds no evacuation. */
    public HeldEvacuations() {
        // Evacuations are held from the next change of the era on.
    }

    /**
     * Holds evacuations.
     *
     * @param inForce zones whose evacuation is in force
     * @param nowNanos current time
     */
    public void hold(Set<ZoneName> inForce, long nowNanos) {
        Set<ZoneName> held = new HashSet<>(inForce);
        held.addAll(held(nowNanos));
        zones = Set.copyOf(held);
        holdUntilNanos = nowNanos + HOLD_TIME.toNanos();
    }

    /**
     * Adds the evacuations that are held to those that the store lists; ends the hold of the latter.
     *
     * @param listed zones whose evacuation the store lists
     * @param nowNanos current time
     * @return zones to evacuate
     */
    public Set<ZoneName> apply(Set<ZoneName> listed, long nowNanos) {
        Set<ZoneName> held = new HashSet<>(held(nowNanos));
        held.removeAll(listed);
        zones = Set.copyOf(held);
        held.addAll(listed);
        return Set.copyOf(held);
    }

    private Set<ZoneName> held(long nowNanos) {
        return nowNanos < holdUntilNanos ? zones : Set.of();
    }
}
