package org.coltsfootquay.decision.simulation;

import java.util.function.BiConsumer;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.configuration.AdministrativeState;

/** Columns of the fault matrix: faults of the router that performs the step, the subject, or of the whole fleet. */
@SuppressWarnings("ImmutableEnumChecker") // The functions are stateless.
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
    RACING_OPERATORS(ControlFault::changeServerConcurrently, (fleet, subject) -> {}),
    ZONE_OUT(
            (fleet, subject) -> changeZone(fleet, subject, AdministrativeState.LEAVING),
            (fleet, subject) -> changeZone(fleet, subject, AdministrativeState.IN_SERVICE));

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

    /** Submits changes of the same server through all active routers at the same time. */
    private static void changeServerConcurrently(SimulatedFleet fleet, SimulatedRouter subject) {
        for (SimulatedRouter router : fleet.routers()) {
            if (router.isActive()) {
                for (AdministrativeState state : AdministrativeState.values()) {
                    router.control().submitter().changeServer(new ServerName("s0"), state, result -> {});
                }
            }
        }
    }

    /**
     * Submits a state change of the zone of the subject through the first other active router that is not stopping.
     *
     * <p>The change may be lost; {@link FaultMatrixCell} repeats the return of the zone to service, as operators do.
     */
    private static void changeZone(SimulatedFleet fleet, SimulatedRouter subject, AdministrativeState state) {
        fleet.routers().stream()
                .filter(router -> router != subject && router.isActive() && !router.isStopping())
                .findFirst()
                .ifPresent(router -> router.control().submitter().changeZone(subject.zone(), state, result -> {}));
    }
}
