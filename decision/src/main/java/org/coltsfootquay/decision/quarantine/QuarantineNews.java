package org.coltsfootquay.decision.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * What one router tells the others about crashes and the prompt parts involved in them.
 *
 * @param crashes crashes with their ages
 * @param answers parts that were involved in a crash and have been answered, with the age of the last answer
 * @param claims requests that are to be the only ones at a server with some suspected parts
 */
public record QuarantineNews(
        Map<CrashReport, Duration> crashes, Map<PartKey, Duration> answers, List<ProbeClaim> claims) {

    /** Copies the collections. */
    public QuarantineNews {
        crashes = Map.copyOf(crashes);
        answers = Map.copyOf(answers);
        claims = List.copyOf(claims);
    }

    /**
     * Returns whether there is nothing to tell.
     *
     * @return true if all collections are empty
     */
    public boolean isEmpty() {
        return crashes.isEmpty() && answers.isEmpty() && claims.isEmpty();
    }
}
