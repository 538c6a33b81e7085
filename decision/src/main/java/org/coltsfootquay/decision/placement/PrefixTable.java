package org.coltsfootquay.decision.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.common.ServerName;

/** Bounded table of the server that probably holds a prefix; the entry used least recently is dropped first. */
final class PrefixTable {

    private final Map<Long, ServerName> servers;

    PrefixTable(int capacity) {
        this.servers = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, ServerName> eldest) {
                return size() > capacity;
            }
        };
    }

    void put(ServerName server, List<Long> hashes) {
        hashes.forEach(hash -> servers.put(hash, server));
    }

    void remove(ServerName server, List<Long> hashes) {
        hashes.forEach(hash -> servers.remove(hash, server));
    }

    /**
     * Finds the longest prefix that a server holds.
     *
     * @param hashes hashes, longest last
     * @return server and the part of the hashes it covers, or empty
     */
    Optional<Match> findLongestMatch(List<Long> hashes) {
        for (int i = hashes.size() - 1; i >= 0; i--) {
            ServerName server = servers.get(hashes.get(i));
            if (server != null) {
                return Optional.of(new Match(server, (i + 1.0) / hashes.size()));
            }
        }
        return Optional.empty();
    }

    int size() {
        return servers.size();
    }

    /**
     * Server that holds a prefix.
     *
     * @param server server
     * @param coveredFraction part of the prompt's hashes that the prefix covers, greater than 0 and at most 1
     */
    record Match(ServerName server, double coveredFraction) {}
}
