package org.coltsfootquay.decision.quarantine;

import java.util.List;

/** Listener for changes of a quarantine. */
public interface QuarantineListener {

    /**
     * Called when parts are quarantined, or when another crash is attributed to them.
     *
     * @param parts names of the parts
     * @param servers servers whose crashes are attributed to the parts
     */
    void quarantined(String parts, List<String> servers);

    /**
     * Called when parts are no longer quarantined.
     *
     * @param parts names of the parts
     */
    void released(String parts);

    /** Called when other routers should be told of new crashes or answers without delay. */
    void newsAdded();
}
