package org.coltsfootquay.decision.ownership;

import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.store.Row;

/**
 * Basis of a claim.
 *
 * @param expectedRow row of the server, or empty when there is none
 * @param holderKey key of the membership row of the holder, or empty when the server was released
 * @param newerHolderRow membership row of a newer incarnation of the holder; when empty the row must have expired
 * @param lapsedHolders lapsed holders that keep a part of the limit after the claim
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
