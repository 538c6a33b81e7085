package org.coltsfootquay.router.forward;

import java.util.Random;

/**
 * Response that an engine sends to a request which it has already answered.
 *
 * @param status status, 200 or 500
 * @param body content
 * @param text bytes of the whole response
 */
record SecondResponse(int status, String body, String text) {

    private static final int HEADER_LINES = 3;

    private enum Framing {
        LENGTH,
        CHUNKED,
        CONNECTION
    }

    /**
     * Draws status, framing and headers.
     *
     * @param random generator
     * @param id id of the request, which some responses do not bear
     * @param seal seal of the response
     * @param success content if the status is 200
     * @param stream whether the content is a stream of events
     */
    static SecondResponse draw(Random random, String id, String seal, String success, boolean stream) {
        int status = random.nextBoolean() ? 200 : 500;
        String body = status == 200 ? success : "oops";
        Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
        String[] lines = {
            random.nextInt(4) == 0 ? "" : "X-Id: " + id + "\r\n",
            "X-Seal: " + seal + "\r\n",
            stream && status == 200 ? "Content-Type: text/event-stream\r\n" : "Content-Type: text/plain\r\n"
        };
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        int first = random.nextInt(HEADER_LINES);
        for (int i = 0; i < HEADER_LINES; i++) {
            head.append(lines[(first + i) % HEADER_LINES]);
        }
        return new SecondResponse(status, body, head + framed(body, framing));
    }

    private static String framed(String body, Framing framing) {
        return switch (framing) {
            case LENGTH -> "Content-Length: " + body.length() + "\r\n\r\n" + body;
            case CHUNKED ->
                "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                        + "\r\n0\r\n\r\n";
            case CONNECTION -> "\r\n" + body;
        };
    }

    /** Returns the whole response or the bytes before any place in it. */
    String wholeOrCut(Random random) {
        return random.nextInt(4) == 0 ? text : text.substring(0, 1 + random.nextInt(text.length() - 1));
    }
}
