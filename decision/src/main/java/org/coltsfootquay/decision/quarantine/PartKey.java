package org.coltsfootquay.decision.quarantine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.coltsfootquay.decision.common.HashUtils;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.selection.Prompt;
import org.coltsfootquay.decision.selection.PromptPart;

/**
 * Key of a shared prompt part, which tells the parts of different services and models apart.
 *
 * @param hash hash of service, model and part
 */
public record PartKey(long hash) {

    /**
     * Returns the keys of the shared parts of a prompt. The last part is left out, because it belongs to one request or
     * session.
     *
     * @param service service of the request
     * @param model model of the request, empty if it names none
     * @param prompt prompt
     * @return keys in the order of the parts
     */
    public static Set<PartKey> ofSharedParts(ServiceName service, String model, Prompt prompt) {
        List<PromptPart> parts = prompt.parts();
        Set<PartKey> keys = new LinkedHashSet<>();
        for (int i = 0; i + 1 < parts.size(); i++) {
            keys.add(new PartKey(
                    HashUtils.hash(service.value(), model, parts.get(i).id())));
        }
        return keys;
    }

    /**
     * Returns the key of the last part of a prompt, by which different requests with the same shared parts are told
     * apart. A caller that repeats a request sends the same one.
     *
     * @param prompt prompt
     * @return key; the same for all prompts without parts
     */
    public static PartKey ofLastPart(Prompt prompt) {
        List<PromptPart> parts = prompt.parts();
        return new PartKey(
                parts.isEmpty() ? 0 : HashUtils.hash(parts.get(parts.size() - 1).id()));
    }

    @Override
    public String toString() {
        return Long.toHexString(hash);
    }
}
