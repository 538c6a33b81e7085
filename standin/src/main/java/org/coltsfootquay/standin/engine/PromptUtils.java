package org.coltsfootquay.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;

/** Text of a prompt and its size. */
public final class PromptUtils {

    private static final int BYTES_PER_TOKEN = 4;

    private PromptUtils() {}

    /**
     * Returns the text that prefix hashes are computed over: role, line feed, content and line feed of each message.
     *
     * @param request body of a call to {@code /v1/chat/completions}
     * @return text in UTF-8
     */
    public static byte[] bytes(JsonNode request) {
        StringBuilder text = new StringBuilder();
        for (JsonNode message : request.path("messages")) {
            text.append(message.path("role").asText())
                    .append('\n')
                    .append(message.path("content").asText())
                    .append('\n');
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns the number of tokens of a text, about one for four bytes.
     *
     * @param bytes number of bytes in UTF-8
     * @return number of tokens, at least 1
     */
    public static int tokens(int bytes) {
        return Math.max(1, (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
    }
}
