package org.coltsfootquay.cli.load;

import java.util.random.RandomGenerator;

/**
 * Kind of calls that a workspace makes.
 *
 * @param classOfWork class of work
 * @param type type of call
 * @param target model service, or path of an application call
 * @param minPromptChars smallest prompt in characters
 * @param maxPromptChars largest prompt in characters
 * @param minTokens smallest number of output tokens
 * @param maxTokens largest number of output tokens
 */
public record CallProfile(
        String classOfWork,
        Type type,
        String target,
        int minPromptChars,
        int maxPromptChars,
        int minTokens,
        int maxTokens) {

    /** Types of calls. */
    public enum Type {
        /** Model call with a streamed answer. */
        STREAM,
        /** Application call that may be repeated. */
        READ,
        /** Application call that must run at most once. */
        BOOKING
    }

    /**
     * Draws a prompt length.
     *
     * @param random source of randomness
     * @return characters
     */
    public int promptChars(RandomGenerator random) {
        return random.nextInt(minPromptChars, maxPromptChars + 1);
    }

    /**
     * Draws an output length.
     *
     * @param random source of randomness
     * @return tokens
     */
    public int tokens(RandomGenerator random) {
        return random.nextInt(minTokens, maxTokens + 1);
    }
}
