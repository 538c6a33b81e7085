package org.coltsfootquay.standin.platform;

import io.netty.channel.EventLoop;
import java.util.Map;
import org.coltsfootquay.standin.fault.Counters;
import org.coltsfootquay.standin.fault.FaultHandler;
import org.coltsfootquay.standin.fault.FaultSwitches;
import org.coltsfootquay.standin.http.RequestHandler;
import org.coltsfootquay.standin.http.StandInServer;

/**
 * Further address of a platform, for the callers of one zone or region.
 *
 * <p>The switches {@code outage} and {@code slowMillis} of a gate concern its callers only; {@code outage = silent} is
 * what a caller sees during a partition. Other switches have no effect at a gate.
 */
public final class PlatformGate implements AutoCloseable {

    private final FaultSwitches faults = new FaultSwitches();
    private final Counters counters = new Counters();
    private final StandInServer server;

    PlatformGate(EventLoop loop, RequestHandler platform) {
        this.server = new StandInServer(loop, new FaultHandler(loop, faults, counters, Map.of(), platform));
        server.start(0);
    }

    /**
     * Returns the address.
     *
     * @return {@code host:port}
     */
    public String address() {
        return server.address();
    }

    /**
     * Returns the fault switches.
     *
     * @return switches, usable from any thread
     */
    public FaultSwitches faults() {
        return faults;
    }

    /**
     * Returns the counters of calls that the gate did not pass on.
     *
     * @return counters, usable from any thread
     */
    public Counters counters() {
        return counters;
    }

    /** Breaks all connections of this gate's callers. */
    public void breakConnections() {
        server.breakConnections();
    }

    /** Stops the gate. */
    @Override
    public void close() {
        server.close();
    }
}
