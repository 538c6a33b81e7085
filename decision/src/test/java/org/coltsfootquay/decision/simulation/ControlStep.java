package org.coltsfootquay.decision.simulation;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.configuration.BackendServer;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.AdministrativeState;
import org.coltsfootquay.decision.membership.MemberRow;
import org.coltsfootquay.decision.ownership.ServerRow;

/**
 * Rows of the fault matrix: control plane steps that the router under test, the subject, performs.
 *
 * <p>After the faults, a step is repeated until it is done, as an operator would do.
 */
@SuppressWarnings("ImmutableEnumChecker") // The functions are stateless.
enum ControlStep {
    TAKE_LEASE(false, (fleet, subject) -> subject.start(), (fleet, subject) -> subject.isLeaseConfirmed()),
    RENEW_LEASE(true, (fleet, subject) -> {}, (fleet, subject) -> subject.isLeaseConfirmed()),
    CLAIM_SERVER(
            true,
            (fleet, subject) -> fleet.routers().get(3).crash(),
            (fleet, subject) -> fleet.routers().stream()
                            .noneMatch(router -> router == fleet.routers().get(3) && router.isRunning())
                    && allServersReassigned(fleet)),
    HAND_SERVER_OVER(
            true,
            (fleet, subject) -> fleet.routers().get(4).start(),
            (fleet, subject) -> !fleet.routers().get(4).admittingServers().isEmpty()),
    RELEASE_ON_STOP(
            true,
            (fleet, subject) -> fleet.routers().forEach(SimulatedRouter::shutDown),
            (fleet, subject) -> fleet.routers().stream().noneMatch(SimulatedRouter::isRunning)),
    CHANGE_CONFIGURATION(
            true,
            ControlStep::removeServer,
            (fleet, subject) -> !fleet.storedConfiguration().servers().containsKey(new ServerName("s7"))),
    READ_CONFIGURATION_AT_START(
            true,
            (fleet, subject) -> {
                if (subject.configuration().version() == 1 && subject.processNumber() == 1) {
                    subject.crash();
                    subject.start();
                }
            },
            (fleet, subject) -> subject.configuration().version()
                    == fleet.configurationPointer().version()),
    ZONE_LEAVE(
            true,
            (fleet, subject) -> subject.control()
                    .submitter()
                    .changeZone(SimulatedFleet.zoneName(1), AdministrativeState.LEAVING, result -> {}),
            (fleet, subject) -> !fleet.storedConfiguration().inService(SimulatedFleet.zoneName(1))),
    SERVER_LEAVE(
            true,
            (fleet, subject) ->
                    subject.control().submitter().changeServer(new ServerName("s1"), AdministrativeState.LEAVING, result -> {}),
            (fleet, subject) -> !fleet.storedConfiguration().admitsWork(new ServerName("s1"))),
    PLANNED_STOP(
            true,
            (fleet, subject) -> subject.shutDown(),
            (fleet, subject) -> !subject.isRunning()
                    && fleet.store().read(MemberRow.key(subject.id())).isEmpty());

    private final boolean subjectRuns;
    private final BiConsumer<SimulatedFleet, SimulatedRouter> action;
    private final BiPredicate<SimulatedFleet, SimulatedRouter> isDone;

    ControlStep(
            boolean subjectRuns,
            BiConsumer<SimulatedFleet, SimulatedRouter> action,
            BiPredicate<SimulatedFleet, SimulatedRouter> done) {
        this.subjectRuns = subjectRuns;
        this.action = action;
        this.isDone = done;
    }

    /** Returns whether the subject is running before the step. */
    boolean subjectRuns() {
        return subjectRuns;
    }

    void perform(SimulatedFleet fleet, SimulatedRouter subject) {
        if (this == TAKE_LEASE || subject.isActive()) {
            action.accept(fleet, subject);
        }
    }

    boolean isDone(SimulatedFleet fleet, SimulatedRouter subject) {
        return isDone.test(fleet, subject);
    }

    private static boolean allServersReassigned(SimulatedFleet fleet) {
        FleetConfiguration configuration = fleet.storedConfiguration();
        for (BackendServer server : configuration.servers().values()) {
            boolean held = fleet.store()
                    .read(ServerRow.key(server.name()))
                    .flatMap(row -> ServerRow.of(row.value()).holder())
                    .filter(holder -> !holder.equals(fleet.routers().get(3).id()))
                    .isPresent();
            if (!held) {
                return false;
            }
        }
        return true;
    }

    private static void removeServer(SimulatedFleet fleet, SimulatedRouter subject) {
        FleetConfiguration current = subject.configuration();
        Map<ServerName, BackendServer> servers = new LinkedHashMap<>(current.servers());
        servers.remove(new ServerName("s7"));
        FleetConfiguration changed = new FleetConfiguration(
                current.version(),
                current.zones(),
                current.services(),
                servers,
                current.classes(),
                current.workspaces());
        subject.control()
                .submitter()
                .submit(current.version(), new SimulatedConfigurationCodec().encode(changed), result -> {});
    }
}
