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
 * <p>The list lags and may still show an earlier VM of the same name as gone. A router therefore counts as terminated
 * only after the list has shown its VM as gone for a minute without interruption. The list is read only while
 * {@link #contains} is called regularly.
 */
public final class TerminatedRouters {

    private static final Duration READ_PERIOD = Duration.ofSeconds(10);
    private static final Duration CONFIRMATION_TIME = Duration.ofSeconds(60);

    private final VmList vms;
    private final TimerService timer;
    private final Map<String, Long> goneSinceNanos = new HashMap<>();
    private long lastQueryNanos = Long.MIN_VALUE / 2;
    private TimerService.ScheduledTask scheduledCheck;

    /**
     * Creates an empty set, which stays idle until {@link #start()}.
     *
     * @param vms list of VMs
     * @param timer timer service
     */
    public TerminatedRouters(VmList vms, TimerService timer) {
        this.vms = ArgumentUtils.requireValue(vms, "VM list");
        this.timer = ArgumentUtils.requireValue(timer, "timer");
    }

    /** Starts reading the list while it is needed. */
    public void start() {
        scheduledCheck = timer.schedulePeriodic("terminated routers", READ_PERIOD, this::check);
    }

    /**
     * Stops reading the list.
     *
     * @param callback invoked once
     */
    public void stop(Runnable callback) {
        if (scheduledCheck != null) {
            scheduledCheck.cancel();
        }
        callback.run();
    }

    /**
     * Tests whether the VM of a router is known to no longer exist, and keeps the list up to date for further calls.
     *
     * @param router router
     * @return true if the router is known to no longer run
     */
    public boolean contains(RouterId router) {
        lastQueryNanos = timer.nowNanos();
        Long since = goneSinceNanos.get(router.value());
        return since != null && lastQueryNanos - since >= CONFIRMATION_TIME.toNanos();
    }

    private void check() {
        if (timer.nowNanos() - lastQueryNanos <= READ_PERIOD.toNanos()) {
            vms.read(this::update);
        } else {
            goneSinceNanos.clear();
        }
    }

    private void update(Either<StoreException, List<VmEntry>> result) {
        if (result.isLeft()) {
            return;
        }
        Set<String> goneVms = new HashSet<>();
        for (VmEntry entry : result.get()) {
            if (entry.state() == VmEntry.State.GONE) {
                goneVms.add(entry.name());
            }
        }
        goneSinceNanos.keySet().retainAll(goneVms);
        goneVms.forEach(name -> goneSinceNanos.putIfAbsent(name, timer.nowNanos()));
    }
}
