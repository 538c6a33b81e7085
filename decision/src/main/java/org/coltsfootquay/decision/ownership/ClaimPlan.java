package org.coltsfootquay.decision.ownership;

import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.store.Row;

/**
 * Preconditions of a claim, as read from the store.
 *
 * @param expectedRow row of the server, or empty if there is none
 * @param holderKey key of the holder's membership row, or empty if the server was released
 * @param newerHolderRow membership row of a newer incarnation of the holder; if empty, the holder's row must be
 *     absent or expired
 * @param lapsedHolders lapsed holders that keep a share of the limit after the claim
 */
record ClaimPlan(
        Optional<Row> expectedRow,
        Optional<String> holderKey,
        Optional<Row> newerHolderRow,
        List<ServerRow.LapsedHolder> lapsedHolders) {

    ClaimPlan {
        lapsedHolders = List.copyOf(lapsedHolders);
    }
}
