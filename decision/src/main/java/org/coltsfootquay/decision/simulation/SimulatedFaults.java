package org.coltsfootquay.decision.simulation;

import java.util.HashSet;
import java.util.Set;
import org.coltsfootquay.decision.common.RouterId;

/** Faults in effect in a simulated fleet; scenarios change them while the fleet runs. */
public final class SimulatedFaults {

    private final Set<RouterId> partitionedFromStore = new HashSet<>();
    private final Set<RouterId> partitionedFromPeers = new HashSet<>();
    private boolean storeDown;
    private boolean storeSlow;
    private double lostResponseFraction;
    private double lateWriteFraction;

    /** Ends all faults. */
    public void clearAll() {
        partitionedFromStore.clear();
        partitionedFromPeers.clear();
        storeDown = false;
        storeSlow = false;
        lostResponseFraction = 0;
        lateWriteFraction = 0;
    }

    /**
     * Partitions a router from the store or reconnects it.
     *
     * @param router router
     * @param partitioned whether the router is partitioned from the store
     */
    public void setPartitionedFromStore(RouterId router, boolean partitioned) {
        toggle(partitionedFromStore, router, partitioned);
    }

    /**
     * Moves a router into the second network partition or back.
     *
     * <p>Routers in different partitions cannot reach each other.
     *
     * @param router router
     * @param partitioned whether the router is in the second partition
     */
    public void setPartitionedFromPeers(RouterId router, boolean partitioned) {
        toggle(partitionedFromPeers, router, partitioned);
    }

    /**
     * Makes the store respond that it is unavailable.
     *
     * @param down whether the store is unavailable
     */
    public void setStoreDown(boolean down) {
        storeDown = down;
    }

    /**
     * Makes calls to the store take up to 3 s, which exceeds the timeout of the client.
     *
     * @param slow whether the store is slow
     */
    public void setStoreSlow(boolean slow) {
        storeSlow = slow;
    }

    /**
     * Sets the fraction of store responses that are lost after the call took effect.
     *
     * @param fraction fraction of the responses, from 0 to 1
     */
    public void setLostResponseFraction(double fraction) {
        lostResponseFraction = fraction;
    }

    /**
     * Sets the fraction of writes that take effect 2 to 15 s after they were sent, when the client has timed out.
     *
     * @param fraction fraction of the writes, from 0 to 1
     */
    public void setLateWriteFraction(double fraction) {
        lateWriteFraction = fraction;
    }

    boolean isStoreReachable(RouterId router) {
        return !partitionedFromStore.contains(router);
    }

    boolean areConnected(RouterId a, RouterId b) {
        return partitionedFromPeers.contains(a) == partitionedFromPeers.contains(b);
    }

    boolean isStoreDown() {
        return storeDown;
    }

    boolean isStoreSlow() {
        return storeSlow;
    }

    double lostResponseFraction() {
        return lostResponseFraction;
    }

    double lateWriteFraction() {
        return lateWriteFraction;
    }

    /** Returns whether the router can reach the store and no store fault is in effect. */
    boolean isStoreHealthy(RouterId router) {
        return isStoreReachable(router)
                && !storeDown
                && !storeSlow
                && lostResponseFraction == 0
                && lateWriteFraction == 0;
    }

    private static void toggle(Set<RouterId> set, RouterId router, boolean partitioned) {
        if (partitioned) {
            set.add(router);
        } else {
            set.remove(router);
        }
    }
}
