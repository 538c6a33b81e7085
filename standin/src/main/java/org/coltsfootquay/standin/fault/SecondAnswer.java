package org.coltsfootquay.standin.fault;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;

/** Draws the bytes that a stuttering server sends after an answer. */
final class SecondAnswer {

    private static final String CONTENT = "{\"code\":\"second_answer\"}";
    private static final int ONE_WHOLE_IN = 4;

    private SecondAnswer() {}

    /**
     * Draws a second answer.
     *
     * @param random generator
     * @param status status of the first answer
     * @return an error after a success and a success after an error, whole or cut at any byte
     */
    static byte[] draw(Random random, int status) {
        String statusLine = status < 400 ? "HTTP/1.1 500 Internal Server Error" : "HTTP/1.1 200 OK";
        byte[] whole = (statusLine + "\r\nContent-Type: application/json\r\nContent-Length: " + CONTENT.length()
                        + "\r\n\r\n" + CONTENT)
                .getBytes(StandardCharsets.US_ASCII);
        return random.nextInt(ONE_WHOLE_IN) == 0 ? whole : Arrays.copyOf(whole, 1 + random.nextInt(whole.length - 1));
    }
}
