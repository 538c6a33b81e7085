package org.coltsfootquay.router.state;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.coltsfootquay.decision.backend.BackendEntry;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.route.RoutingConfiguration;

/** Reads rows of the store; rows that cannot be read are logged and name nothing. */
public interface StateDecoder {

    /**
     * Reads the configuration.
     *
     * @param rows rows of the operator's table
     * @return configuration, or empty if there is none that can be read
     */
    Optional<RoutingConfiguration> configuration(Collection<TableRow> rows);

    /**
     * Reads the zones to evacuate.
     *
     * @param rows rows of the operator's table
     * @return zones
     */
    Set<ZoneName> evacuatedZones(Collection<TableRow> rows);

    /**
     * Reads the registration of a backend server.
     *
     * @param row row of the table of servers
     * @return registration, or empty if the row names no server
     */
    Optional<BackendEntry> server(TableRow row);
}
