package org.coltsfootquay.decision.selection;

import java.util.List;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.HashUtils;

/**
 * Size and parts of a prompt.
 *
 * @param parts parts in order; the last one belongs to the request or its session, the others are shared
 * @param tokens tokens to read
 * @param maxOutputTokens largest number of tokens that the answer may have
 */
public record Prompt(List<PromptPart> parts, int tokens, int maxOutputTokens) {

    /** Prompt of a request that describes none. */
    public static final Prompt NONE = new Prompt(List.of(), 0, 0);

    /** Checks the values and copies the list. */
    public Prompt {
        parts = List.copyOf(parts);
        ArgumentUtils.requireNonNegative(tokens, "tokens of a prompt");
        ArgumentUtils.requireNonNegative(maxOutputTokens, "maxOutputTokens of a prompt");
    }

    /**
     * Returns the tokens of the parts that other requests share.
     *
     * @return tokens
     */
    public int sharedTokens() {
        int shared = 0;
        for (int i = 0; i + 1 < parts.size(); i++) {
            shared += parts.get(i).tokens();
        }
        return Math.min(shared, tokens);
    }

    /**
     * Returns a hash of the shared parts, which names the servers that should keep them.
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
