package org.coltsfootquay.decision.membership;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.VmEntry;
import org.coltsfootquay.decision.store.VmList;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * Routers whose VM no longer exists according to the platform's list of VMs.
 *
 * <p>The list lags and may still show the end of an earlier VM of the same name, so a router counts as gone only when
 * the list says so for a minute without a break. The list is read only while somebody asks.
 */
public final class TerminatedRouters {

    private static final Duration PERIOD = Duration.ofSeconds(10);
    private static final Duration CONFIRMATION = Duration.ofSeconds(60);

    private final VmList vms;
    private final TimerService timer;
    private final Map<String, Long> goneSince = new HashMap<>();
    private long askedNanos = Long.MIN_VALUE / 2;
    private TimerService.ScheduledTask subscription;

    /**
     * Creates an empty set that does nothing until {@link #start()}.
     *
     * @param vms list of VMs
     * @param timer timer service
     */
    public TerminatedRouters(VmList vms, TimerService timer) {
        this.vms = ArgumentUtils.requireValue(vms, "VM list");
        this.timer = ArgumentUtils.requireValue(timer, "timer");
    }

    /** Begins to read the list when it is needed. */
    public void start() {
        subscription = timer.schedulePeriodic("gone routers", PERIOD, this::check);
    }

    /**
     * Stops.
     *
     * @param callback called once
     */
    public void stop(Runnable callback) {
        if (subscription != null) {
            subscription.cancel();
        }
        callback.run();
    }

    /**
     * Tells whether a router's VM is known to be gone, and keeps the list fresh for further questions.
     *
     * @param router router
     * @return true if it surely does not run any more
     */
    public boolean contains(RouterId router) {
        askedNanos = timer.nowNanos();
        Long since = goneSince.get(router.value());
        return since != null && askedNanos - since >= CONFIRMATION.toNanos();
    }

    private void check() {
        if (timer.nowNanos() - askedNanos <= PERIOD.toNanos()) {
            vms.read(this::read);
        } else {
            goneSince.clear();
        }
    }

    private void read(Either<StoreException, List<VmEntry>> result) {
        if (result.isLeft()) {
            return;
        }
        Set<String> gone = new HashSet<>();
        for (VmEntry entry : result.get()) {
            if (entry.state() == VmEntry.State.GONE) {
                gone.add(entry.name());
            }
        }
        goneSince.keySet().retainAll(gone);
        gone.forEach(name -> goneSince.putIfAbsent(name, timer.nowNanos()));
    }
}
