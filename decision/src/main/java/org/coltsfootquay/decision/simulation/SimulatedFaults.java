package org.coltsfootquay.decision.simulation;

import java.util.HashSet;
import java.util.Set;
import org.coltsfootquay.decision.common.RouterId;

/** Faults that are in effect; changed by scenarios while the fleet runs. */
public final class SimulatedFaults {

    private final Set<RouterId> storeCut = new HashSet<>();
    private final Set<RouterId> peerCut = new HashSet<>();
    private boolean storeDown;
    private boolean storeSlow;
    private double lostAnswers;
    private double lateEffects;

    /** Ends all faults. */
    public void clear() {
        storeCut.clear();
        peerCut.clear();
        storeDown = false;
        storeSlow = false;
        lostAnswers = 0;
        lateEffects = 0;
    }

    /**
     * Cuts a router off from the store or reconnects it.
     *
     * @param router router
     * @param cut whether it is cut off
     */
    public void cutFromStore(RouterId router, boolean cut) {
        toggle(storeCut, router, cut);
    }

    /**
     * Moves a router into a group of its own or back; the routers of the two groups cannot reach each other.
     *
     * @param router router
     * @param cut whether it is in the smaller group
     */
    public void cutFromPeers(RouterId router, boolean cut) {
        toggle(peerCut, router, cut);
    }

    /**
     * Makes the store answer that it is unavailable.
     *
     * @param down whether it is down
     */
    public void storeDown(boolean down) {
        storeDown = down;
    }

    /**
     * Makes calls to the store take up to 3 s, which is longer than the client's timeout.
     *
     * @param slow whether it is slow
     */
    public void storeSlow(boolean slow) {
        storeSlow = slow;
    }

    /**
     * Loses answers of the store after the effect.
     *
     * @param share share of the answers, from 0 to 1
     */
    public void lostAnswers(double share) {
        lostAnswers = share;
    }

    /**
     * Lets writes take effect up to 15 s after the client gave them up.
     *
     * @param share share of the writes, from 0 to 1
     */
    public void lateEffects(double share) {
        lateEffects = share;
    }

    boolean storeReachable(RouterId router) {
        return !storeCut.contains(router);
    }

    boolean connected(RouterId a, RouterId b) {
        return peerCut.contains(a) == peerCut.contains(b);
    }

    boolean isStoreDown() {
        return storeDown;
    }

    boolean isStoreSlow() {
        return storeSlow;
    }

    double lostAnswerShare() {
        return lostAnswers;
    }

    double lateEffectShare() {
        return lateEffects;
    }

    /** Tells whether the store behaves normally for a router. */
    boolean storeHealthy(RouterId router) {
        return storeReachable(router) && !storeDown && !storeSlow && lostAnswers == 0 && lateEffects == 0;
    }

    private static void toggle(Set<RouterId> set, RouterId router, boolean cut) {
        if (cut) {
            set.add(router);
        } else {
            set.remove(router);
        }
    }
}
