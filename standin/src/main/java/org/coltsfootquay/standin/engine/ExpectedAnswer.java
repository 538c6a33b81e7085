package org.coltsfootquay.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.coltsfootquay.standin.http.JsonUtils;

/**
 * The token texts with which every engine stand-in answers a request.
 *
 * <p>They depend on the messages only, so that an answer that was resumed on another engine can be
 * compared with the expected one, and an answer to another request is recognised.
 */
public final class ExpectedAnswer {

    private static final int TOKEN_CHARS = 5;
    private static final int BITS_PER_CHAR = 5;
    private static final String ALPHABET = "abcdefghijklmnopqrstuvwxyz234567";

    private final long seed;

    private ExpectedAnswer(long seed) {
        this.seed = seed;
    }

    /**
     * Returns the answer to a request.
     *
     * @param request body of a call to {@code /v1/chat/completions}
     * @return the expected answer
     */
    public static ExpectedAnswer of(JsonNode request) {
        byte[] prompt = PromptUtils.bytes(request);
        return new ExpectedAnswer(PrefixHashUtils.extend(PrefixHashUtils.START, prompt, 0, prompt.length));
    }

    /**
     * Returns the answer to a request with one message of the role {@code user}.
     *
     * @param content content of the message
     * @return the expected answer
     */
    public static ExpectedAnswer of(String content) {
        ObjectNode request = JsonUtils.object();
        request.putArray("messages").addObject().put("role", "user").put("content", content);
        return of(request);
    }

    /**
     * Returns one token.
     *
     * @param position position of the token, starting at 0
     * @return text of the token, with a space at its end
     */
    public String token(int position) {
        long bits = mix(seed + position);
        StringBuilder text = new StringBuilder(TOKEN_CHARS + 1);
        for (int i = 0; i < TOKEN_CHARS; i++) {
            text.append(ALPHABET.charAt((int) (bits >>> (i * BITS_PER_CHAR)) & (ALPHABET.length() - 1)));
        }
        return text.append(' ').toString();
    }

    /**
     * Returns the whole answer.
     *
     * @param tokens number of tokens
     * @return texts of all tokens
     */
    public String text(int tokens) {
        StringBuilder text = new StringBuilder(tokens * (TOKEN_CHARS + 1));
        for (int i = 0; i < tokens; i++) {
            text.append(token(i));
        }
        return text.toString();
    }

    /** Finalizer of the SplitMix64 generator; spreads neighbouring positions over all bits. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
