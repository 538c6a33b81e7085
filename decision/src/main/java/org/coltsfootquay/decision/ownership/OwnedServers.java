package org.coltsfootquay.decision.ownership;

import java.util.List;
import org.coltsfootquay.decision.blackboard.Topic;

/**
 * Immutable snapshot of the backend servers that this router owns.
 *
 * @param servers owned servers, ordered by name
 */
public record OwnedServers(List<OwnedServer> servers) {

    /** Topic written by the ownership controller and read by the dispatchers. */
    public static final Topic<OwnedServers> TOPIC = new Topic<>("owned-servers", new OwnedServers(List.of()));

    /** Copies the list. */
    public OwnedServers {
        servers = List.copyOf(servers);
    }
}
