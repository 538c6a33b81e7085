package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coltsfootquay.router.backend.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against late responses that stop anywhere and are read as one with the next response of the connection. */
final class JoinedResponseTest {

    private static final Pattern ID = Pattern.compile("(?im)^X-Id: (\\S+)");

    private ForwardingFixture fixture;

    /** Bytes that precede the response to each request but the first of a connection. */
    private final AtomicReference<String> stale = new AtomicReference<>("");

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardingFixture().withConfiguration();
        fixture.serve((head, output, socket) -> {
            String id = id(head);
            String response = id.startsWith("first")
                    ? success(id)
                    : stale.get() + "HTTP/1.1 500 Internal Server Error\r\nX-Id: " + id
                            + "\r\nX-Seal: seal-of-error\r\nContent-Length: 4\r\n\r\nfail";
            output.write(ScriptedServer.ascii(response));
        });
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Callers got a success with the body and the seal of an error. */
    @Tag("known-red")
    @Test
    void errorAfterACutResponseIsNoSuccess() throws Exception {
        for (String path : List.of("/once/a", "/stream/a", "/resume/a")) {
            int length = success("first-0").length();
            for (int cut = 0; cut <= length; cut++) {
                String response =
                        callAfterStaleBytes(path, success("first-" + cut).substring(0, cut), cut);
                assertTrue(
                        response.startsWith("HTTP/1.1 500") || response.startsWith("HTTP/1.1 502"),
                        path + " after " + cut + " bytes: " + response);
            }
        }
    }

    /** A first response that stops, followed by the second one to the same request, became one response. */
    @Tag("known-red")
    @Test
    void secondResponseToTheSameRequestDoesNotCompleteTheFirst() throws Exception {
        for (String path : List.of("/once/a", "/stream/a")) {
            int length = success("other-0").length();
            for (int cut = 1; cut < length; cut++) {
                String response =
                        callAfterStaleBytes(path, success("other-" + cut).substring(0, cut), cut);
                assertTrue(
                        !response.startsWith("HTTP/1.1 200") || response.contains("[reset]"),
                        path + " after " + cut + " bytes: " + response);
            }
        }
    }

    /** A response to another request that is received whole is discarded, and the caller gets its own. */
    @Test
    void wholeResponseToAnotherRequestIsDiscarded() throws Exception {
        String response = callAfterStaleBytes("/once/a", success("first-1"), 1);
        assertTrue(response.startsWith("HTTP/1.1 500") && response.endsWith("fail"), response);
        assertTrue(response.contains("seal-of-error"), response);
    }

    private String callAfterStaleBytes(String path, String bytes, int number) throws Exception {
        stale.set("");
        String first = fixture.call("POST", path, "first-" + number);
        assertTrue(first.startsWith("HTTP/1.1 200"), first);
        stale.set(bytes);
        long startNanos = System.nanoTime();
        String response = fixture.call("POST", path, "other-" + number);
        long millis = (System.nanoTime() - startNanos) / 1_000_000;
        assertEquals("", millis < 2000 ? "" : path + " took " + millis + " ms: " + response);
        return response;
    }

    private static String success(String id) {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Id: " + id
                + "\r\nX-Seal: seal-of-success\r\nContent-Length: 24\r\n\r\nid: 1\ndata: a\n\ndata: b\n\n";
    }

    private static String id(String head) {
        Matcher matcher = ID.matcher(head);
        return matcher.find() ? matcher.group(1) : "none";
    }
}
