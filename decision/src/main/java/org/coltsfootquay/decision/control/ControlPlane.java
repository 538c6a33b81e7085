package org.coltsfootquay.decision.control;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.coltsfootquay.decision.blackboard.Blackboard;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.configuration.ConfigurationController;
import org.coltsfootquay.decision.configuration.ConfigurationSubmitter;
import org.coltsfootquay.decision.invariant.InvariantMonitor;
import org.coltsfootquay.decision.membership.AdmissionPermitController;
import org.coltsfootquay.decision.membership.JoinAwareMembers;
import org.coltsfootquay.decision.membership.ExpiredMemberRemover;
import org.coltsfootquay.decision.membership.TerminatedRouters;
import org.coltsfootquay.decision.membership.MembershipController;
import org.coltsfootquay.decision.ownership.OwnershipController;
import org.coltsfootquay.decision.store.StoreWatcher;
import org.coltsfootquay.decision.timer.TimerService;

/**
 * All controllers of one router, wired to each other.
 *
 * <p>Single-threaded: the thread that drives the timer service makes all calls.
 */
public final class ControlPlane {

    private final TimerService timer;
    private final Blackboard blackboard;
    private final RouterId self;
    private final StoreWatcher watcher;
    private final MembershipController membership;
    private final ExpiredMemberRemover remover;
    private final JoinAwareMembers established;
    private final TerminatedRouters gone;
    private final AdmissionPermitController contact;
    private final ConfigurationController configuration;
    private final ConfigurationSubmitter submitter;
    private final OwnershipController ownership;

    /**
     * Creates the controllers; nothing happens until {@link #start()}.
     *
     * @param ports ports
     * @param timer timer service
     * @param blackboard blackboard that receives the topics of all controllers
     * @param random source of jitter, used on the control thread only
     * @param settings settings
     */
    public ControlPlane(
            ControlPorts ports,
            TimerService timer,
            Blackboard blackboard,
            RandomGenerator random,
            ControlSettings settings) {
        this.timer = timer;
        this.blackboard = blackboard;
        this.self = settings.membership().id();
        watcher = new StoreWatcher(ports.store(), timer, blackboard, ports.timeline(), random, settings.watcher());
        membership = new MembershipController(
                ports.store(), watcher, timer, blackboard, ports.timeline(), random, settings.membership());
        remover = new ExpiredMemberRemover(ports.store(), watcher, timer, blackboard, settings.membership());
        established = new JoinAwareMembers(ports.store(), watcher, timer, blackboard, settings.membership());
        gone = new TerminatedRouters(ports.vmList(), timer);
        contact = new AdmissionPermitController(timer, blackboard, settings.membership().id(), settings.admissionPermit());
        configuration = new ConfigurationController(
                ports.objects(),
                ports.codec(),
                ports.snapshotRequester(),
                watcher,
                timer,
                blackboard,
                ports.timeline(),
                random,
                settings.configuration());
        submitter = new ConfigurationSubmitter(
                ports.store(), ports.objects(), ports.codec(), watcher, timer, random, settings.configuration());
        ownership = new OwnershipController(
                ports.store(),
                watcher,
                membership,
                established,
                gone,
                timer,
                blackboard,
                ports.timeline(),
                random,
                ports.handoverListener(),
                settings.membership(),
                settings.ownership());
    }

    /**
     * Checks the guarantees G3 and G10 while the router runs; to be called before {@link #start()}.
     *
     * @param monitor receiver of violations
     */
    public void checkInvariants(InvariantMonitor monitor) {
        new ControlInvariantChecks(this, timer, blackboard, self, monitor).start();
    }

    /** Starts all controllers. */
    public void start() {
        configuration.start();
        membership.start();
        ownership.start();
        remover.start();
        established.start();
        gone.start();
        contact.start();
        watcher.start();
    }

    /**
     * Stops all controllers without a change in the store.
     *
     * @param callback called once when no call is in flight
     */
    public void stop(Runnable callback) {
        stopAround(membership::stop, callback);
    }

    /**
     * Stops all controllers and deletes the membership row.
     *
     * @param callback called once when no call is in flight
     */
    public void stopAndDeregister(Runnable callback) {
        stopAround(membership::stopAndDeregister, callback);
    }

    private void stopAround(Consumer<Runnable> membershipStop, Runnable callback) {
        contact.stop(() ->
                established.stop(() -> gone.stop(() -> remover.stop(() -> ownership.stop(() -> submitter.stop(
                        () -> configuration.stop(() -> membershipStop.accept(() -> watcher.stop(callback)))))))));
    }

    /**
     * Returns the copy of the watched rows.
     *
     * @return store watcher
     */
    public StoreWatcher watcher() {
        return watcher;
    }

    /**
     * Returns the membership controller.
     *
     * @return membership controller
     */
    public MembershipController membership() {
        return membership;
    }

    /**
     * Returns the configuration controller.
     *
     * @return configuration controller
     */
    public ConfigurationController configuration() {
        return configuration;
    }

    /**
     * Returns the entry for operators' changes.
     *
     * @return configuration submitter
     */
    public ConfigurationSubmitter submitter() {
        return submitter;
    }

    /**
     * Returns the ownership controller.
     *
     * @return ownership controller
     */
    public OwnershipController ownership() {
        return ownership;
    }
}
