package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coltsfootquay.router.backend.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that lose the response of a slow server because no other server can take them. */
final class SlowServerTest {

    private static final Pattern ID = Pattern.compile("(?im)^X-Id: (\\S+)");

    /** Several times the target of the routes, below their timeout. */
    private static final long SLOW_MILLIS = 900;

    private ForwardingFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardingFixture().withConfiguration();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** The caller got 502 although the response was on its way. */
    @Test
    void slowServerIsAwaitedIfThereIsNoOther() throws Exception {
        fixture.serve(answeringAfter(SLOW_MILLIS, "slow"));
        String response = fixture.call("POST", "/safe/a", "id-1");
        assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("slow"), response);
    }

    @Test
    void slowServerIsLeftForOneThatIsRegisteredMeanwhile() throws Exception {
        fixture.serve(answeringAfter(2 * SLOW_MILLIS, "slow"));
        Thread registration = new Thread(() -> {
            try {
                Thread.sleep(SLOW_MILLIS / 2);
                fixture.serve(answeringAfter(0, "quick"));
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        registration.start();
        String response = fixture.call("POST", "/safe/a", "id-1");
        registration.join();
        assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("quick"), response);
    }

    private static ScriptedServer.Script answeringAfter(long millis, String body) {
        return (head, output, socket) -> {
            Thread.sleep(millis);
            Matcher id = ID.matcher(head);
            output.write(ScriptedServer.ascii("HTTP/1.1 200 OK\r\nX-Id: " + (id.find() ? id.group(1) : "none")
                    + "\r\nX-Seal: seal\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
        };
    }
}
