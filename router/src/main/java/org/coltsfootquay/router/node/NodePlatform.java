package org.coltsfootquay.router.node;

import io.netty.channel.EventLoop;
import org.coltsfootquay.router.forward.RequestDialect;
import org.coltsfootquay.router.state.StateDecoder;
import org.coltsfootquay.router.state.TableStore;

/** What a platform provides to a router. */
public interface NodePlatform {

    /**
     * Returns the names of headers.
     *
     * @return dialect
     */
    RequestDialect dialect();

    /**
     * Returns the reader of the store's rows.
     *
     * @return decoder
     */
    StateDecoder decoder();

    /**
     * Connects to the store.
     *
     * @param eventLoop event loop on which outcomes are delivered
     * @param settings settings of the router
     * @return store
     */
    TableStore store(EventLoop eventLoop, NodeSettings settings);
}
