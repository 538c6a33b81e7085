package org.coltsfootquay.decision.simulation;

import java.util.HashSet;
import java.util.Set;
import org.coltsfootquay.decision.common.RouterId;

/** Faults that are in effect; changed by scenarios while the fleet runs. */
public final class SimulatedFaults {

    private final Set<RouterId> storeCut = new HashSet<>();
    private final Set<RouterId> peerCut = new HashSet<>();
    private boolean setStoreDown;
    private boolean setStoreSlow;
    private double setLostResponseFraction;
    private double setLateWriteFraction;

    /** Ends all faults. */
    public void clearAll() {
        storeCut.clear();
        peerCut.clear();
        setStoreDown = false;
        setStoreSlow = false;
        setLostResponseFraction = 0;
        setLateWriteFraction = 0;
    }

    /**
     * Cuts a router off from the store or reconnects it.
     *
     * @param router router
     * @param cut whether it is cut off
     */
    public void setPartitionedFromStore(RouterId router, boolean cut) {
        toggle(storeCut, router, cut);
    }

    /**
     * Moves a router into a group of its own or back; the routers of the two groups cannot reach each other.
     *
     * @param router router
     * @param cut whether it is in the smaller group
     */
    public void setPartitionedFromPeers(RouterId router, boolean cut) {
        toggle(peerCut, router, cut);
    }

    /**
     * Makes the store answer that it is unavailable.
     *
     * @param down whether it is down
     */
    public void setStoreDown(boolean down) {
        setStoreDown = down;
    }

    /**
     * Makes calls to the store take up to 3 s, which is longer than the client's timeout.
     *
     * @param slow whether it is slow
     */
    public void setStoreSlow(boolean slow) {
        setStoreSlow = slow;
    }

    /**
     * Loses answers of the store after the effect.
     *
     * @param share share of the answers, from 0 to 1
     */
    public void setLostResponseFraction(double share) {
        setLostResponseFraction = share;
    }

    /**
     * Lets writes take effect up to 15 s after the client gave them up.
     *
     * @param share share of the writes, from 0 to 1
     */
    public void setLateWriteFraction(double share) {
        setLateWriteFraction = share;
    }

    boolean isStoreReachable(RouterId router) {
        return !storeCut.contains(router);
    }

    boolean areConnected(RouterId a, RouterId b) {
        return peerCut.contains(a) == peerCut.contains(b);
    }

    boolean isStoreDown() {
        return setStoreDown;
    }

    boolean isStoreSlow() {
        return setStoreSlow;
    }

    double lostResponseFraction() {
        return setLostResponseFraction;
    }

    double lateWriteFraction() {
        return setLateWriteFraction;
    }

    /** Tells whether the store behaves normally for a router. */
    boolean isStoreHealthy(RouterId router) {
        return isStoreReachable(router) && !setStoreDown && !setStoreSlow && setLostResponseFraction == 0 && setLateWriteFraction == 0;
    }

    private static void toggle(Set<RouterId> set, RouterId router, boolean cut) {
        if (cut) {
            set.add(router);
        } else {
            set.remove(router);
        }
    }
}
