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
 * Client of the platform; implements the ports of the decision library.
 *
 * <p>Each call gets its callback exactly once, on the executor, within the timeout of the call. Reads are repeated
 * after a failure with full jitter. Writes are sent at most once; an answer that is lost gives the outcome
 * {@code UNKNOWN}. A write is {@code NOT_APPLIED} when its condition did not hold, when the platform stated that it did
 * nothing, and when no byte of it was sent.
 */
public final class PlatformClient implements AutoCloseable {

    private final TrafficCounter traffic = new TrafficCounter();
    private final PlatformCallExecutor calls;
    private final TableStore tableStore;
    private final ObjectStore objectStore;
    private final VmList vmList;

    /**
     * Creates a client; it connects with the first call.
     *
     * @param settings settings
     * @param eventLoops event loops, owned by the caller
     * @param callbacks executor that runs the callbacks, normally the control thread
     * @param random source of the jitter, thread-safe as {@link java.util.Random} is
     */
    public PlatformClient(
            PlatformClientSettings settings, EventLoopGroup eventLoops, Executor callbacks, RandomGenerator random) {
        // One loop, so that all calls share one pool of connections.
        EventLoop eventLoop = eventLoops.next();
        this.calls = new PlatformCallExecutor(settings, eventLoop, new BackendClient(eventLoop, traffic), callbacks, random);
        this.tableStore = new TableStoreClient(calls);
        this.objectStore = new ObjectStoreClient(calls);
        this.vmList = new VmListClient(calls);
    }

    /**
     * Returns the table service.
     *
     * @return port, usable from any thread
     */
    public TableStore tableStore() {
        return tableStore;
    }

    /**
     * Returns the object store.
     *
     * @return port, usable from any thread
     */
    public ObjectStore objectStore() {
        return objectStore;
    }

    /**
     * Returns the VM list.
     *
     * @return port, usable from any thread
     */
    public VmList vmList() {
        return vmList;
    }

    /**
     * Returns the bytes exchanged with the platform.
     *
     * @return counter of all connections
     */
    public TrafficCounter traffic() {
        return traffic;
    }

    /**
     * Returns the number of repeated reads.
     *
     * @return repetitions since the start
     */
    public long readRetries() {
        return calls.readRetries();
    }

    /**
     * Returns the number of writes whose outcome is unknown.
     *
     * @return writes since the start
     */
    public long unknownWrites() {
        return calls.unknownWrites();
    }

    /** Ends all calls as failed and closes the connections. */
    @Override
    public void close() {
        calls.close();
    }
}
