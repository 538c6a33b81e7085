package org.coltsfootquay.decision.selection;

import java.util.List;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.HashUtils;

/**
 * Length and parts of a prompt.
 *
 * @param parts parts in order; all but the last, which is specific to the request or its session, are shared
 * @param tokens length in tokens
 * @param maxOutputTokens maximum number of tokens of the response
 */
public record Prompt(List<PromptPart> parts, int tokens, int maxOutputTokens) {

    /** Prompt of a request that does not describe its prompt. */
    public static final Prompt NONE = new Prompt(List.of(), 0, 0);

    /** Validates the values and copies the list. */
    public Prompt {
        parts = List.copyOf(parts);
        ArgumentUtils.requireNonNegative(tokens, "tokens of a prompt");
        ArgumentUtils.requireNonNegative(maxOutputTokens, "maxOutputTokens of a prompt");
    }

    /**
     * Returns the length of the shared parts.
     *
     * @return tokens, at most the length of the prompt
     */
    public int sharedTokens() {
        int shared = 0;
        for (int i = 0; i + 1 < parts.size(); i++) {
            shared += parts.get(i).tokens();
        }
        return Math.min(shared, tokens);
    }

    /**
     * Returns a hash of the shared parts, by which routers select the home server of these parts and track caches.
     *
     * @return hash; the same for all prompts without shared parts
     */
    public long sharedPartsHash() {
        String[] ids = parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .map(PromptPart::id)
                .toArray(String[]::new);
        return HashUtils.hash(ids);
    }
}
