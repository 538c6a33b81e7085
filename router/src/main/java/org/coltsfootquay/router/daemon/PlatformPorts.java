package org.coltsfootquay.router.daemon;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.Executor;
import org.coltsfootquay.decision.store.ObjectStore;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.store.VmList;

/**
 * Ports to the platform.
 *
 * @param table table service
 * @param objects object store
 * @param vms list of VMs
 * @param close ends the connections
 */
public record PlatformPorts(TableStore table, ObjectStore objects, VmList vms, Runnable close) {

    /** Creates the ports of one router. */
    @FunctionalInterface
    public interface Factory {

        /**
         * Creates the ports.
         *
         * @param address {@code host:port} of the platform
         * @param eventLoops event loops of the router
         * @param callbacks runs all callbacks
         * @return ports
         */
        PlatformPorts create(String address, EventLoopGroup eventLoops, Executor callbacks);
    }
}
