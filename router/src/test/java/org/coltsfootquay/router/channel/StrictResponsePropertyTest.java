package org.coltsfootquay.router.channel;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against two responses that are decoded as one, for random responses, cuts and pieces. */
final class StrictResponsePropertyTest {

    private static final int MAX_BYTES = 8192;
    private static final List<String> VERSIONS = List.of("HTTP/1.1", "HTTP/1.0");
    private static final List<String> REASONS = List.of("", " ", " OK", " Not Found", " Error: HTTP/1.1");

    @Property(seed = "4711", tries = 1_000)
    void cutResponseIsNotJoinedWithTheNext(@ForAll long seed) {
        Random random = new Random(seed);
        String stale = response(random, "stale", 200 + random.nextInt(5));
        String real = response(random, "real", 400 + random.nextInt(200));
        List<String> sentHeads = new ArrayList<>();
        for (String sent : List.of(stale, real)) {
            decode(List.of(sent)).forEach(response -> sentHeads.add(response.head()));
        }
        String input = stale.substring(0, random.nextInt(stale.length() + 1)) + real;
        for (DecodedResponse decoded : decode(pieces(random, input))) {
            assertTrue(decoded.head().isEmpty() || sentHeads.contains(decoded.head()), () -> input + "\n" + decoded);
            assertTrue(!decoded.trailers().contains("real") || !decoded.head().contains("stale"), decoded::toString);
        }
    }

    @Property(seed = "4712", tries = 1_000)
    void completeResponsesAreDecoded(@ForAll long seed) {
        Random random = new Random(seed);
        String input = response(random, "first", 200) + response(random, "second", 500);
        for (DecodedResponse decoded : decode(pieces(random, input))) {
            assertTrue(decoded.failure().isEmpty(), () -> input + "\n" + decoded);
        }
    }

    private static List<DecodedResponse> decode(List<String> pieces) {
        return DecodedResponse.decode(new StrictResponseDecoder(MAX_BYTES, MAX_BYTES, MAX_BYTES), pieces);
    }

    private static String response(Random random, String id, int status) {
        String body = "x".repeat(random.nextInt(20)) + "\r\n" + "y".repeat(random.nextInt(20));
        int framing = random.nextInt(4);
        List<String> headers = new ArrayList<>(List.of("X-Id: " + id, "X-Seal: seal-" + id));
        if (random.nextBoolean()) {
            headers.add("Keep-Alive: timeout=" + random.nextInt(100));
        }
        if (random.nextBoolean()) {
            headers.add("Content-Type: text/event-stream");
        }
        String content = body;
        String version = choose(random, VERSIONS);
        if (framing == 0) {
            headers.add("Content-Length: 0");
            content = "";
        } else if (framing == 1) {
            headers.add("Transfer-Encoding: chunked");
            version = VERSIONS.get(0);
            String chunk = Integer.toHexString(body.length()) + ";part=\"" + id + "\"\r\n" + body + "\r\n";
            content = chunk.repeat(1 + random.nextInt(3)) + "0\r\n"
                    + (random.nextBoolean() ? "X-Trailer: " + id + "\r\n" : "") + "\r\n";
        } else if (framing == 2) {
            headers.add("Content-Length: " + body.length());
        }
        Collections.shuffle(headers, random);
        String interim = random.nextInt(4) == 0 ? "HTTP/1.1 100 Continue\r\n\r\n" : "";
        return interim + version + " " + status + choose(random, REASONS) + "\r\n" + String.join("\r\n", headers)
                + "\r\n\r\n" + content;
    }

    private static String choose(Random random, List<String> values) {
        return values.get(random.nextInt(values.size()));
    }

    private static List<String> pieces(Random random, String input) {
        List<String> pieces = new ArrayList<>();
        int start = 0;
        while (start < input.length()) {
            int end = Math.min(input.length(), start + 1 + random.nextInt(30));
            pieces.add(input.substring(start, end));
            start = end;
        }
        return pieces;
    }
}
