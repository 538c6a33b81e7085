package org.coltsfootquay.decision.configuration;

import java.util.List;

/** Result of an operator's change of the configuration. */
public sealed interface SubmitResult {

    /**
     * The change was accepted.
     *
     * @param version version that contains the change
     */
    record Accepted(long version) implements SubmitResult {}

    /**
     * Another change came first; nothing was changed. The remedy is to read the current version and to submit again.
     *
     * @param expected version that the submission was based on
     * @param current current version
     */
    record Conflict(long expected, long current) implements SubmitResult {}

    /**
     * The configuration has problems; nothing was changed.
     *
     * @param problems problems, each with its remedy
     */
    record Invalid(List<String> problems) implements SubmitResult {

        /**
         * Copies the list.
         *
         * @param problems problems, each with its remedy
         */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * The store was out of reach before the change could take effect; nothing was changed.
     *
     * @param reason reason with the remedy
     */
    record Unavailable(String reason) implements SubmitResult {}

    /**
     * The answer to the change was lost and could not be resolved in time. The remedy is to read the history.
     *
     * @param submissionId text that identifies the submission in the history
     */
    record Unknown(String submissionId) implements SubmitResult {}
}
