package org.coltsfootquay.router.daemon;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.Executor;
import org.coltsfootquay.decision.store.ObjectStore;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.store.VmList;
import org.coltsfootquay.router.channel.TrafficCounter;
import org.coltsfootquay.router.platform.PlatformClient;
import org.coltsfootquay.router.platform.PlatformClientSettings;

/**
 * Ports to the services of the platform.
 *
 * @param table table service
 * @param objects object store
 * @param vms list of VMs
 * @param traffic bytes sent and received
 * @param close closes the connections
 */
public record PlatformPorts(TableStore table, ObjectStore objects, VmList vms, TrafficCounter traffic, Runnable close) {

    /**
     * Returns a factory of ports that access the platform over HTTP.
     *
     * @param callTimeout timeout of one call
     * @param seed seed for the jitter of retry delays
     * @return factory
     */
    public static Factory overHttp(Duration callTimeout, long seed) {
        return (address, eventLoops, callbackExecutor) -> {
            PlatformClient client = new PlatformClient(
                    PlatformClientSettings.of(address).withCallTimeout(callTimeout),
                    eventLoops,
                    callbackExecutor,
                    new Random(seed));
            return new PlatformPorts(
                    client.tableStore(), client.objectStore(), client.vmList(), client.traffic(), client::close);
        };
    }

    /** Creates the ports of one router. */
    @FunctionalInterface
    public interface Factory {

        /**
         * Creates the ports.
         *
         * @param address {@code host:port} of the platform
         * @param eventLoops event loops of the router
         * @param callbackExecutor executor that runs all callbacks
         * @return ports
         */
        PlatformPorts create(String address, EventLoopGroup eventLoops, Executor callbackExecutor);
    }
}
