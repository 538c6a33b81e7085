package org.coltsfootquay.decision.selection;

import org.coltsfootquay.decision.common.ArgumentUtils;

/**
 * Part of a prompt that servers may cache.
 *
 * @param id identifier of the part
 * @param tokens length in tokens
 */
public record PromptPart(String id, int tokens) {

    /** Validates the values. */
    public PromptPart {
        ArgumentUtils.requireText(id, "id of a prompt part");
        ArgumentUtils.requireNonNegative(tokens, "tokens of a prompt part");
    }
}
