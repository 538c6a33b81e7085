package org.coltsfootquay.standin.fault;

import org.coltsfootquay.standin.settings.RangeCheck;

/**
 * Positions of the fault switches of a stand-in. A switch that does not concern a kind of stand-in has no effect there.
 *
 * @param outage outage of the whole stand-in
 * @param throttle whether the platform answers 429 to each call
 * @param slowMillis delay before each call is handled, in milliseconds
 * @param slowFactor factor on the processing times of engines and application servers
 * @param lagMillis lag added to the VM list, to load reports and to cache events, in milliseconds
 * @param loseNextAnswers number of coming calls with an effect whose answer is lost after the effect
 * @param loseOneAnswerIn each n-th call with an effect loses its answer after the effect; 0 for none
 * @param ignoreFencing whether the stand-in accepts old fencing numbers although its settings say that it checks them
 * @param cutStreamsAfterTokens number of tokens after which the connection of each stream is broken; 0 for never
 * @param stutter fraction of answers, 0 to 1, that are followed by a late second one, whole or cut
 */
public record Faults(
        Outage outage,
        boolean throttle,
        long slowMillis,
        double slowFactor,
        long lagMillis,
        int loseNextAnswers,
        int loseOneAnswerIn,
        boolean ignoreFencing,
        int cutStreamsAfterTokens,
        double stutter) {

    private static final long MAX_MILLIS = 3_600_000;

    /** Checks the ranges. */
    public Faults {
        new RangeCheck()
                .present("outage", outage, "write \"none\"")
                .range("slowMillis", slowMillis, 0, MAX_MILLIS)
                .range("slowFactor", slowFactor, 1, 1_000)
                .range("lagMillis", lagMillis, 0, MAX_MILLIS)
                .range("loseNextAnswers", loseNextAnswers, 0, Integer.MAX_VALUE)
                .range("loseOneAnswerIn", loseOneAnswerIn, 0, Integer.MAX_VALUE)
                .range("cutStreamsAfterTokens", cutStreamsAfterTokens, 0, Integer.MAX_VALUE)
                .range("stutter", stutter, 0, 1)
                .throwIfAny();
    }

    /**
     * Returns switches that are all off.
     *
     * @return no faults
     */
    public static Faults none() {
        return new Faults(Outage.NONE, false, 0, 1, 0, 0, 0, false, 0, 0);
    }

    /**
     * Returns a copy with another outage.
     *
     * @param value outage
     * @return the copy
     */
    public Faults withOutage(Outage value) {
        return new Faults(
                value,
                throttle,
                slowMillis,
                slowFactor,
                lagMillis,
                loseNextAnswers,
                loseOneAnswerIn,
                ignoreFencing,
                cutStreamsAfterTokens,
                stutter);
    }

    /**
     * Returns a copy with the rate limit hit or not.
     *
     * @param value whether each call is throttled
     * @return the copy
     */
    public Faults withThrottle(boolean value) {
        return new Faults(
                outage,
                value,
                slowMillis,
                slowFactor,
                lagMillis,
                loseNextAnswers,
                loseOneAnswerIn,
                ignoreFencing,
                cutStreamsAfterTokens,
                stutter);
    }

    /**
     * Returns a copy with another delay of calls.
     *
     * @param value delay in milliseconds
     * @return the copy
     */
    public Faults withSlowMillis(long value) {
        return new Faults(
                outage,
                throttle,
                value,
                slowFactor,
                lagMillis,
                loseNextAnswers,
                loseOneAnswerIn,
                ignoreFencing,
                cutStreamsAfterTokens,
                stutter);
    }

    /**
     * Returns a copy with another factor on processing times.
     *
     * @param value factor, at least 1
     * @return the copy
     */
    public Faults withSlowFactor(double value) {
        return new Faults(
                outage,
                throttle,
                slowMillis,
                value,
                lagMillis,
                loseNextAnswers,
                loseOneAnswerIn,
                ignoreFencing,
                cutStreamsAfterTokens,
                stutter);
    }

    /**
     * Returns a copy with another lag of reports.
     *
     * @param value lag in milliseconds
     * @return the copy
     */
    public Faults withLagMillis(long value) {
        return new Faults(
                outage,
                throttle,
                slowMillis,
                slowFactor,
                value,
                loseNextAnswers,
                loseOneAnswerIn,
                ignoreFencing,
                cutStreamsAfterTokens,
                stutter);
    }

    /**
     * Returns a copy with another number of answers to lose.
     *
     * @param value number of calls
     * @return the copy
     */
    public Faults withLoseNextAnswers(int value) {
        return new Faults(
                outage,
                throttle,
                slowMillis,
                slowFactor,
                lagMillis,
                value,
                loseOneAnswerIn,
                ignoreFencing,
                cutStreamsAfterTokens,
                stutter);
    }

    /**
     * Returns a copy with another rate of lost answers.
     *
     * @param value n, or 0 for none
     * @return the copy
     */
    public Faults withLoseOneAnswerIn(int value) {
        return new Faults(
                outage,
                throttle,
                slowMillis,
                slowFactor,
                lagMillis,
                loseNextAnswers,
                value,
                ignoreFencing,
                cutStreamsAfterTokens,
                stutter);
    }

    /**
     * Returns a copy with fencing numbers ignored or not.
     *
     * @param value whether old fencing numbers are accepted
     * @return the copy
     */
    public Faults withIgnoreFencing(boolean value) {
        return new Faults(
                outage,
                throttle,
                slowMillis,
                slowFactor,
                lagMillis,
                loseNextAnswers,
                loseOneAnswerIn,
                value,
                cutStreamsAfterTokens,
                stutter);
    }

    /**
     * Returns a copy with another length of cut streams.
     *
     * @param value number of tokens after which a stream is cut, or 0 for never
     * @return the copy
     */
    public Faults withCutStreamsAfterTokens(int value) {
        return new Faults(
                outage,
                throttle,
                slowMillis,
                slowFactor,
                lagMillis,
                loseNextAnswers,
                loseOneAnswerIn,
                ignoreFencing,
                value,
                stutter);
    }

    /**
     * Returns a copy with another fraction of answers that are followed by a second one.
     *
     * @param value fraction, 0 to 1
     * @return the copy
     */
    public Faults withStutter(double value) {
        return new Faults(
                outage,
                throttle,
                slowMillis,
                slowFactor,
                lagMillis,
                loseNextAnswers,
                loseOneAnswerIn,
                ignoreFencing,
                cutStreamsAfterTokens,
                value);
    }
}
