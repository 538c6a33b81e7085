package org.coltsfootquay.decision.selection;

import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.backend.BackendEntry;

/** Rule that picks the server of a request. */
public interface ServerSelector {

    /**
     * Picks a server.
     *
     * @param candidates servers that may get the request
     * @param prompt prompt of the request, {@link Prompt#NONE} if it describes none
     * @return the choice, or empty if there are no candidates
     */
    Optional<SelectedServer> select(List<BackendEntry> candidates, Prompt prompt);
}
