package org.coltsfootquay.router.state;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.rollout.RolloutOrder;
import org.coltsfootquay.decision.route.RoutingConfiguration;

/** Decoder for rows of the store; invalid rows are logged and ignored. */
public interface StateDecoder {

    /**
     * Finds the row of the configuration.
     *
     * @param rows rows of the operator's table
     * @return row, or empty if there is none
     */
    Optional<TableRow> configurationRow(Collection<TableRow> rows);

    /**
     * Decodes the configuration.
     *
     * @param row row of the configuration
     * @return configuration, or empty if the row is not a valid one
     */
    Optional<RoutingConfiguration> configuration(TableRow row);

    /**
     * Decodes the zones to evacuate.
     *
     * @param rows rows of the operator's table
     * @return zones
     */
    Set<ZoneName> evacuatedZones(Collection<TableRow> rows);

    /**
     * Decodes the registration of a backend server.
     *
     * @param row row of the table of servers
     * @return registration, or empty if the row is not a valid one
     */
    Optional<BackendEntry> server(TableRow row);

    /**
     * Decodes the orders of roll-outs.
     *
     * @param rows rows of the operator's table
     * @return valid orders; none on platforms without roll-outs
     */
    default List<RolloutOrder> rollouts(Collection<TableRow> rows) {
        return List.of();
    }
}
