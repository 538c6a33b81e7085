package org.coltsfootquay.decision.configuration;

import java.util.List;

/** Result of a configuration change by an operator. */
public sealed interface SubmitResult {

    /**
     * The change was accepted.
     *
     * @param version version that contains the change
     */
    record Accepted(long version) implements SubmitResult {}

    /**
     * Another change was applied first; nothing was changed. The operator has to read the current version and resubmit.
     *
     * @param expected version that the submission was based on
     * @param current version that is current
     */
    record Conflict(long expected, long current) implements SubmitResult {}

    /**
     * The configuration is invalid; nothing was changed.
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
     * The store was unreachable before the change could be applied; nothing was changed.
     *
     * @param reason reason with the remedy
     */
    record Unavailable(String reason) implements SubmitResult {}

    /**
     * The outcome of the change is unknown: the response from the store was lost and the outcome could not be
     * resolved in time. The operator has to read the history.
     *
     * @param submissionId text that identifies the submission in the history
     */
    record Unknown(String submissionId) implements SubmitResult {}
}
