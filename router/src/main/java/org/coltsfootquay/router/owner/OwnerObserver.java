package org.coltsfootquay.router.owner;

import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.dispatch.DispatchAction;
import org.coltsfootquay.decision.dispatch.ServiceDispatcher;

/** Sees what the dispatchers decide; called on the dispatch thread. */
public interface OwnerObserver {

    /** Observer that does nothing. */
    OwnerObserver NONE = new OwnerObserver() {
        @Override
        public void configurationChanged(FleetConfiguration configuration, long nowNanos) {
            // Nothing is observed.
        }

        @Override
        public void actionTaken(ServiceName service, DispatchAction action, ServiceDispatcher dispatcher, long nowNanos) {
            // Nothing is observed.
        }

        @Override
        public void ticked(ServiceName service, ServiceDispatcher dispatcher, long nowNanos) {
            // Nothing is observed.
        }
    };

    /**
     * A configuration reached the dispatchers.
     *
     * @param configuration configuration
     * @param nowNanos current time
     */
    void configurationChanged(FleetConfiguration configuration, long nowNanos);

    /**
     * A dispatcher decided something.
     *
     * @param service service
     * @param action decision
     * @param dispatcher dispatcher, after the decision
     * @param nowNanos current time
     */
    void actionTaken(ServiceName service, DispatchAction action, ServiceDispatcher dispatcher, long nowNanos);

    /**
     * Time passed at a dispatcher.
     *
     * @param service service
     * @param dispatcher dispatcher
     * @param nowNanos current time
     */
    void ticked(ServiceName service, ServiceDispatcher dispatcher, long nowNanos);
}
