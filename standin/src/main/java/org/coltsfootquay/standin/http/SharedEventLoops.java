package org.coltsfootquay.standin.http;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

/** Event loops that all stand-ins of a process share; their threads are daemons and live as long as the process. */
public final class SharedEventLoops {

    private static final int MAX_THREADS = 4;

    private SharedEventLoops() {}

    /**
     * Returns the next event loop.
     *
     * @return an event loop; a stand-in runs on one loop only, so that it needs no locks
     */
    public static EventLoop next() {
        return Holder.GROUP.next();
    }

    private static final class Holder {

        private static final EventLoopGroup GROUP = new MultiThreadIoEventLoopGroup(
                Math.min(MAX_THREADS, Runtime.getRuntime().availableProcessors()),
                new DefaultThreadFactory("standin", true),
                NioIoHandler.newFactory());
    }
}
