package org.coltsfootquay.router.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.peer.PeerRouter;
import org.coltsfootquay.decision.peer.PeerTable;
import org.coltsfootquay.decision.route.CallerLimits;
import org.coltsfootquay.decision.route.RoutingConfiguration;
import org.coltsfootquay.decision.route.ServicePolicy;
import org.coltsfootquay.router.channel.ChannelUtils;
import org.coltsfootquay.router.forward.FleetLimits;
import org.coltsfootquay.router.forward.ForwardingContext;
import org.coltsfootquay.router.forward.MemoryLimits;
import org.coltsfootquay.router.forward.PromptCacheUpdate;
import org.coltsfootquay.router.metrics.RouterMetrics;
import org.coltsfootquay.router.neighbor.TableCopyExchange;
import org.coltsfootquay.router.state.TableWatcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Verifies that a router that has just started does not make servers read cached shared prompt parts again. */
final class CacheViewBootstrapTest {

    private static final ServerName SERVER = new ServerName("s");
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final ZoneName ZONE = new ZoneName("zone");
    private static final long PART = 42;

    private final EventLoopGroup group = ChannelUtils.eventLoops("cache-join-test", 1);
    private final EventLoop loop = group.next();
    private TestRouter running;
    private TestRouter joiner;

    @BeforeEach
    void start() throws Exception {
        running = new TestRouter("running");
        joiner = new TestRouter("joiner");
        onLoop(() -> {
            joiner.bootstrap.start();
            return null;
        });
    }

    @AfterEach
    void stop() {
        ChannelUtils.shutDown(group).join();
    }

    @Test
    void cachedPartsOfAPeerAreCopied() throws Exception {
        onLoop(() -> {
            running.forwarding.recordPromptCacheUpdate(new PromptCacheUpdate(SERVER, PART, 100));
            joiner.bootstrap.beaconReceived(running.self, false);
            return null;
        });
        awaitCopy();
        assertTrue(onLoop(() -> joiner.forwarding.promptCaches().isCached(SERVER, PART)));
    }

    /** After a copy from a peer, the home server of an unrecorded part is no longer assumed to have cached it. */
    @Test
    void homesAreNotAssumedCachedAfterACopy() throws Exception {
        assertTrue(onLoop(() -> joiner.forwarding.promptCaches().isAssumedCachedAtHome(PART + 1)));
        cachedPartsOfAPeerAreCopied();
        assertFalse(onLoop(() -> joiner.forwarding.promptCaches().isAssumedCachedAtHome(PART + 1)));
    }

    @Test
    void noCopyIsRequestedFromAJoiningPeer() throws Exception {
        onLoop(() -> {
            running.forwarding.recordPromptCacheUpdate(new PromptCacheUpdate(SERVER, PART, 100));
            joiner.bootstrap.beaconReceived(running.self, true);
            return null;
        });
        assertTrue(onLoop(joiner.bootstrap::isJoining));
    }

    @Test
    void snapshotKeepsTheOrderOfUse() throws Exception {
        List<Long> keys = onLoop(() -> {
            running.forwarding.recordPromptCacheUpdate(new PromptCacheUpdate(SERVER, 1, 100));
            running.forwarding.recordPromptCacheUpdate(new PromptCacheUpdate(SERVER, 2, 100));
            running.forwarding.recordPromptCacheUpdate(new PromptCacheUpdate(SERVER, 1, 100));
            return CacheViewBootstrap.snapshot(running.forwarding).getServers(0).getSharedKeysList();
        });
        assertEquals(List.of(2L, 1L), keys);
    }

    private void awaitCopy() throws Exception {
        long end = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (onLoop(joiner.bootstrap::isJoining) && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertFalse(onLoop(joiner.bootstrap::isJoining), "no copy arrived within 5 s");
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    private final class TestRouter {

        private final PeerRouter self;
        private final ForwardingContext forwarding;
        private final CacheViewBootstrap bootstrap;

        private TestRouter(String name) throws Exception {
            EventLoopTimers timers = new EventLoopTimers(loop);
            TableWatcher watcher = new TableWatcher(null, timers, new Random(1), null, () -> 2);
            PeerRouter unbound = new PeerRouter(new RouterId(name), ZONE, "127.0.0.1", 1, "127.0.0.1:1");
            forwarding = new ForwardingContext(
                    unbound.id(),
                    ZONE,
                    timers,
                    null,
                    null,
                    new PeerTable(unbound),
                    new FleetLimits(0.2, 50, Duration.ofSeconds(10), 1.5, 5),
                    Duration.ofMinutes(5),
                    MemoryLimits.ofHeap(64 << 20),
                    new RouterMetrics());
            TableCopyExchange copyExchange =
                    new TableCopyExchange(loop, watcher, () -> CacheViewBootstrap.snapshot(forwarding));
            InetSocketAddress address = (InetSocketAddress)
                    copyExchange.listen("127.0.0.1", 0).sync().channel().localAddress();
            self = new PeerRouter(unbound.id(), ZONE, "127.0.0.1", address.getPort(), "127.0.0.1:1");
            bootstrap = new CacheViewBootstrap(ZONE, forwarding, copyExchange, timers);
            RoutingConfiguration configuration = new RoutingConfiguration(
                    1,
                    List.of(),
                    List.of(new ServicePolicy(SERVICE, 100, 0, Duration.ZERO, 10_000)),
                    Map.of(),
                    true,
                    new CallerLimits(8192, 10_000, Duration.ofSeconds(3), Duration.ofSeconds(15)));
            BackendEntry entry = new BackendEntry(SERVER, SERVICE, "127.0.0.1", 1, ZONE, 8, false, Duration.ZERO, 1);
            onLoop(() -> {
                forwarding.registry().put(entry, System.nanoTime());
                forwarding.registrationsLoaded();
                return forwarding.applyConfiguration(configuration);
            });
        }
    }
}
