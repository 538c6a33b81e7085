package org.coltsfootquay.router.platform;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.store.ObjectStore;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.store.VmList;
import org.coltsfootquay.router.backend.BackendClient;
import org.coltsfootquay.router.channel.TrafficCounter;

/**
 * Client of the platform; implements the store interfaces of the decision library.
 *
 * <p>The callback of each call runs exactly once, on the callback executor, within the timeout of the call. Reads are
 * retried after a temporary failure, with a backoff and full jitter. Writes are sent at most once; the outcome of a
 * write whose response is lost is {@code UNKNOWN}. A write is {@code NOT_APPLIED} if its condition did not hold, if the
 * platform stated that it did nothing, or if no byte of it was sent.
 */
public final class PlatformClient implements AutoCloseable {

    private final TrafficCounter traffic = new TrafficCounter();
    private final PlatformCallExecutor callExecutor;
    private final TableStore tableStore;
    private final ObjectStore objectStore;
    private final VmList vmList;

    /**
     * Creates a client; it opens no connection before the first call.
     *
     * @param settings timeouts and limits
     * @param eventLoops event loops, owned by the caller
     * @param callbackExecutor executor that runs the callbacks, normally the control thread
     * @param random source of the jitter, thread-safe as {@link java.util.Random} is
     */
    public PlatformClient(
            PlatformClientSettings settings,
            EventLoopGroup eventLoops,
            Executor callbackExecutor,
            RandomGenerator random) {
        // All calls run on one event loop, so that they share one connection pool.
        EventLoop eventLoop = eventLoops.next();
        this.callExecutor = new PlatformCallExecutor(
                settings, eventLoop, new BackendClient(eventLoop, traffic), callbackExecutor, random);
        this.tableStore = new TableStoreClient(callExecutor);
        this.objectStore = new ObjectStoreClient(callExecutor);
        this.vmList = new VmListClient(callExecutor);
    }

    /**
     * Returns the client of the table service.
     *
     * @return thread-safe client
     */
    public TableStore tableStore() {
        return tableStore;
    }

    /**
     * Returns the client of the object store.
     *
     * @return thread-safe client
     */
    public ObjectStore objectStore() {
        return objectStore;
    }

    /**
     * Returns the client of the VM list.
     *
     * @return thread-safe client
     */
    public VmList vmList() {
        return vmList;
    }

    /**
     * Returns the counter of the bytes exchanged with the platform.
     *
     * @return counter shared by all connections
     */
    public TrafficCounter traffic() {
        return traffic;
    }

    /**
     * Returns the number of read retries.
     *
     * @return retries since the client was created
     */
    public long readRetries() {
        return callExecutor.readRetries();
    }

    /**
     * Returns the number of writes whose outcome is unknown.
     *
     * @return writes with an unknown outcome since the client was created
     */
    public long unknownWrites() {
        return callExecutor.unknownWrites();
    }

    /** Fails all calls that have not ended and closes the connections. */
    @Override
    public void close() {
        callExecutor.close();
    }
}
