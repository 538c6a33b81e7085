package org.coltsfootquay.standin.platform;

/**
 * Entry of the VM list.
 *
 * @param name name of the VM
 * @param zone availability zone
 * @param address {@code host:port} of the process on the VM
 * @param state state of the VM
 * @param startedAtEpochMillis start of the VM
 */
public record VmRecord(String name, String zone, String address, State state, long startedAtEpochMillis) {

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
