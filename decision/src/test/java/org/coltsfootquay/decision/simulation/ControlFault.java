package org.coltsfootquay.decision.simulation;

import java.util.function.BiConsumer;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.configuration.AdministrativeState;

/** Columns of the fault matrix: faults that hit the router that performs the step, or the whole fleet. */
@SuppressWarnings("ImmutableEnumChecker") // The functions have no state.
enum ControlFault {
    PARTITION_FROM_STORE(
            (fleet, subject) -> fleet.faults().setPartitionedFromStore(subject.id(), true),
            (fleet, subject) -> fleet.faults().setPartitionedFromStore(subject.id(), false)),
    PARTITION_FROM_PEERS(
            (fleet, subject) -> fleet.faults().setPartitionedFromPeers(subject.id(), true),
            (fleet, subject) -> fleet.faults().setPartitionedFromPeers(subject.id(), false)),
    PARTITION_FROM_BOTH(
            (fleet, subject) -> {
                fleet.faults().setPartitionedFromStore(subject.id(), true);
                fleet.faults().setPartitionedFromPeers(subject.id(), true);
            },
            (fleet, subject) -> {
                fleet.faults().setPartitionedFromStore(subject.id(), false);
                fleet.faults().setPartitionedFromPeers(subject.id(), false);
            }),
    RESTART_WITHOUT_MEMORY(
            (fleet, subject) -> {
                subject.crash();
                subject.start();
            },
            (fleet, subject) -> {}),
    PAUSE_PAST_LEASE((fleet, subject) -> subject.pause(), (fleet, subject) -> subject.resume()),
    STORE_DOWN(
            (fleet, subject) -> fleet.faults().setStoreDown(true),
            (fleet, subject) -> fleet.faults().setStoreDown(false)),
    STORE_SLOW(
            (fleet, subject) -> fleet.faults().setStoreSlow(true),
            (fleet, subject) -> fleet.faults().setStoreSlow(false)),
    ANSWER_LOST(
            (fleet, subject) -> fleet.faults().setLostResponseFraction(0.7),
            (fleet, subject) -> fleet.faults().setLostResponseFraction(0)),
    EFFECT_AFTER_TIMEOUT(
            (fleet, subject) -> fleet.faults().setLateWriteFraction(0.7),
            (fleet, subject) -> fleet.faults().setLateWriteFraction(0)),
    RACING_OPERATORS(ControlFault::race, (fleet, subject) -> {}),
    ZONE_OUT(
            (fleet, subject) -> zone(fleet, subject, AdministrativeState.LEAVING),
            (fleet, subject) -> zone(fleet, subject, AdministrativeState.IN_SERVICE));

    private final BiConsumer<SimulatedFleet, SimulatedRouter> begin;
    private final BiConsumer<SimulatedFleet, SimulatedRouter> end;

    ControlFault(BiConsumer<SimulatedFleet, SimulatedRouter> begin, BiConsumer<SimulatedFleet, SimulatedRouter> end) {
        this.begin = begin;
        this.end = end;
    }

    void begin(SimulatedFleet fleet, SimulatedRouter subject) {
        begin.accept(fleet, subject);
    }

    void end(SimulatedFleet fleet, SimulatedRouter subject) {
        end.accept(fleet, subject);
    }

    /** Lets every router change the same server at once. */
    private static void race(SimulatedFleet fleet, SimulatedRouter subject) {
        for (SimulatedRouter router : fleet.routers()) {
            if (router.isActive()) {
                for (AdministrativeState state : AdministrativeState.values()) {
                    router.control().submitter().changeServer(new ServerName("s0"), state, result -> {});
                }
            }
        }
    }

    /** Takes the zone of the subject out or in through the first router that runs; operators repeat until accepted. */
    private static void zone(SimulatedFleet fleet, SimulatedRouter subject, AdministrativeState state) {
        fleet.routers().stream()
                .filter(router -> router != subject && router.isActive() && !router.isStopping())
                .findFirst()
                .ifPresent(router -> router.control().submitter().changeZone(subject.zone(), state, result -> {}));
    }
}
