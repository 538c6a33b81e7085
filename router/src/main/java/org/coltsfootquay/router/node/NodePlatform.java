package org.coltsfootquay.router.node;

import io.netty.channel.EventLoop;
import java.util.Optional;
import org.coltsfootquay.decision.rollout.RolloutStore;
import org.coltsfootquay.router.forward.RequestDialect;
import org.coltsfootquay.router.state.StateDecoder;
import org.coltsfootquay.router.state.TableStore;

/** Platform-specific services that a router uses. */
public interface NodePlatform {

    /**
     * Returns the dialect that defines the names of HTTP headers.
     *
     * @return dialect
     */
    RequestDialect dialect();

    /**
     * Returns the decoder for the rows of the store.
     *
     * @return decoder
     */
    StateDecoder decoder();

    /**
     * Connects to the store.
     *
     * @param eventLoop event loop on which outcomes are delivered
     * @param settings settings of the router
     * @return client of the store
     */
    TableStore store(EventLoop eventLoop, NodeSettings settings);

    /**
     * Connects to the rows with the states of roll-outs.
     *
     * @param eventLoop event loop on which outcomes are delivered
     * @param settings settings of the router
     * @return client, or empty if the platform knows no roll-outs
     */
    default Optional<RolloutStore> rolloutStore(EventLoop eventLoop, NodeSettings settings) {
        return Optional.empty();
    }
}
