package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.coltsfootquay.router.backend.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against responses to HEAD requests that are given or expected to have a body. */
final class HeadRequestTest {

    private ForwardingFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardingFixture().withConfiguration();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** The caller waited until its deadline, since the router waited for a body. */
    @Test
    void responseIsCompleteWithItsHead() throws Exception {
        ScriptedServer server = fixture.serve((head, output, socket) -> output.write(
                ScriptedServer.ascii("HTTP/1.1 200 OK\r\nX-Id: id\r\nX-Seal: seal\r\nContent-Length: 5\r\n\r\n")));
        for (int i = 0; i < 3; i++) {
            String response = fixture.call("HEAD", "/once/a", "id");
            assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("\r\n\r\n"), response);
        }
        assertEquals(1, server.connections.get());
    }

    /** The body of an error was read as the beginning of the response to the next request. */
    @Test
    void errorHasNoBody() throws Exception {
        for (String path : List.of("/none/a", "/once/a", "/stream/a")) {
            String request = " HTTP/1.1\r\nHost: host\r\nX-Id: id\r\nX-Key: good\r\n";
            String response = fixture.sendRaw(
                    "HEAD " + path + request + "\r\nGET /none/a" + request + "Connection: close\r\n\r\n");
            int second = response.indexOf("\r\n\r\n") + 4;
            assertTrue(response.startsWith("HTTP/1.1 404", second), response);
            assertTrue(response.endsWith("}\n"), response);
        }
    }
}
