package org.coltsfootquay.decision.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.coltsfootquay.decision.common.RequestAttempt;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ZoneName;

/** Backend server of the test world: counts executions and holds streams that can be resumed. */
final class FakeServer {

    final ServerName name;
    final ZoneName zone;
    final Map<RequestAttempt, Integer> resumableStreams = new HashMap<>();
    final Set<Connection> connections = new HashSet<>();
    long fencingNumber = 1;
    long coldUntilNanos;
    long refusingUntilNanos;
    boolean breakNextConnection;

    FakeServer(String name, String zone) {
        this.name = new ServerName(name);
        this.zone = new ZoneName(zone);
    }

    /** Connection of one attempt to this server. */
    static final class Connection {

        final RequestAttempt attempt;
        boolean open = true;
        boolean written;

        Connection(RequestAttempt attempt) {
            this.attempt = attempt;
        }
    }
}
