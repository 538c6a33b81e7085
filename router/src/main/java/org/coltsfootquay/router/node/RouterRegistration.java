package org.coltsfootquay.router.node;

import java.time.Duration;
import java.util.function.IntSupplier;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.timer.TimerService;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.state.StoreReply;
import org.coltsfootquay.router.state.TableStore;

/** Keeps the row of this router in the store; used on one event loop. */
final class RouterRegistration {

    private static final EventLog LOG = EventLog.of(RouterRegistration.class);

    /** Delay between attempts to register in the store. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(700);

    /**
     * Time between the registrations of two routers after the store has lost those of all; a fleet of a hundred routers
     * then makes 50 writes per second.
     */
    private static final Duration SPACING = Duration.ofMillis(20);

    private final TableStore store;
    private final TimerService timers;
    private final RouterId self;
    private final byte[] row;
    private final IntSupplier position;
    private final Runnable onRegistered;
    private boolean registered;
    private boolean stopped;

    /**
     * Creates a registration that is not written yet.
     *
     * @param store store
     * @param timers timers of the event loop
     * @param self identifier of this router
     * @param row content of the row
     * @param position supplies the position of this router among all that register again, from 0
     * @param onRegistered runs whenever the store has accepted the row
     */
    RouterRegistration(
            TableStore store,
            TimerService timers,
            RouterId self,
            byte[] row,
            IntSupplier position,
            Runnable onRegistered) {
        this.store = store;
        this.timers = timers;
        this.self = self;
        this.row = row.clone();
        this.position = position;
        this.onRegistered = onRegistered;
    }

    /** Writes the row until the store accepts it. */
    void start() {
        if (stopped) {
            return;
        }
        store.putRouter(self.value(), row, reply -> {
            if (reply instanceof StoreReply.Rows) {
                registered = true;
                LOG.info("router_registered", "router", self);
                onRegistered.run();
            } else {
                var unused = timers.scheduleOnce("register", RETRY_DELAY, this::start);
            }
        });
    }

    /**
     * Writes the row once more after another router has removed it because it had received no beacon for long, or after
     * the store has returned from a copy without it. In the latter case many routers do so at the same time.
     */
    void rowMissing() {
        if (registered) {
            registered = false;
            var unused = timers.scheduleOnce("register", SPACING.multipliedBy(position.getAsInt()), this::start);
        }
    }

    /** Writes the row no more. */
    void stop() {
        stopped = true;
    }
}
