package org.coltsfootquay.decision.store;

import org.coltsfootquay.decision.common.ZoneName;

/**
 * Entry of the platform's VM list, which lags behind the actual state.
 *
 * @param name name of the VM; equals the name of the backend server or router that runs on it
 * @param zone availability zone
 * @param address IP address and port of the process, {@code host:port}
 * @param state state as last observed by the platform
 * @param startedAtEpochMillis start of the VM according to the platform's clock, in milliseconds since the epoch
 */
public record VmEntry(String name, ZoneName zone, String address, State state, long startedAtEpochMillis) {

    /** States of a VM. */
    public enum State {
        /** The VM runs. */
        RUNNING,
        /** The VM will be stopped soon. */
        LEAVING,
        /** The VM no longer exists. */
        GONE
    }
}
