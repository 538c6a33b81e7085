package org.coltsfootquay.router.owner;

import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.dispatch.DispatchAction;
import org.coltsfootquay.decision.dispatch.ServiceDispatcher;

/** Observes the decisions of the dispatchers; called on the dispatch thread. */
public interface OwnerObserver {

    /** Observer that ignores all calls. */
    OwnerObserver NONE = new OwnerObserver() {
        @Override
        public void configurationChanged(FleetConfiguration configuration, long nowNanos) {
            // Ignored.
        }

        @Override
        public void actionTaken(
                ServiceName service, DispatchAction action, ServiceDispatcher dispatcher, long nowNanos) {
            // Ignored.
        }

        @Override
        public void ticked(ServiceName service, ServiceDispatcher dispatcher, long nowNanos) {
            // Ignored.
        }
    };

    /**
     * Called before a new configuration is passed to the dispatchers.
     *
     * @param configuration new configuration
     * @param nowNanos current time in nanoseconds
     */
    void configurationChanged(FleetConfiguration configuration, long nowNanos);

    /**
     * Called for each action that a dispatcher returns.
     *
     * @param service service of the dispatcher
     * @param action action
     * @param dispatcher dispatcher, after it handled the event
     * @param nowNanos current time in nanoseconds
     */
    void actionTaken(ServiceName service, DispatchAction action, ServiceDispatcher dispatcher, long nowNanos);

    /**
     * Called after each tick of a dispatcher.
     *
     * @param service service of the dispatcher
     * @param dispatcher dispatcher
     * @param nowNanos current time in nanoseconds
     */
    void ticked(ServiceName service, ServiceDispatcher dispatcher, long nowNanos);
}
