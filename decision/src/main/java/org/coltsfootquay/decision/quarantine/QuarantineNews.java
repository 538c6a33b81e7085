package org.coltsfootquay.decision.quarantine;

import java.time.Duration;
import java.util.Map;

/**
 * What one router tells the others about crashes and the prompt parts involved in them.
 *
 * @param crashes crashes with their ages
 * @param answers parts that were involved in a crash and have been answered, with the age of the last answer
 */
public record QuarantineNews(Map<CrashReport, Duration> crashes, Map<PartKey, Duration> answers) {

    /** Copies the maps. */
    public QuarantineNews {
        crashes = Map.copyOf(crashes);
        answers = Map.copyOf(answers);
    }

    /**
     * Returns whether there is nothing to tell.
     *
     * @return true if both maps are empty
     */
    public boolean isEmpty() {
        return crashes.isEmpty() && answers.isEmpty();
    }
}
