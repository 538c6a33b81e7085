package org.coltsfootquay.decision.selection;

import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.backend.BackendEntry;

/** Selects the server of a request among candidates. */
public interface ServerSelector {

    /**
     * Selects a server.
     *
     * @param candidates servers that may get the request
     * @param request request for which a server is selected
     * @return the selected server, or empty if there are no candidates
     */
    Optional<SelectedServer> select(List<BackendEntry> candidates, SelectionRequest request);
}
