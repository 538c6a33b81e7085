package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.coltsfootquay.decision.quarantine.PartQuarantine;
import org.coltsfootquay.router.backend.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that crash one engine after the other because a part of their prompts does. */
final class CrashingPromptPartTest {

    private static final int ENGINES = 8;

    private static final int BATCH_SIZE = 4;

    /** Crashes after which a part is quarantined. */
    private static final int CRASHES_UNTIL_PROOF = 3;

    /** More than the time since its last answer after which a part may be quarantined. */
    private static final Duration TIME_AFTER_POWER_CUT = Duration.ofMillis(2_500);

    private static final Pattern ID = Pattern.compile("(?im)^X-Id: (\\S+)");
    private static final Pattern PARTS = Pattern.compile("(?im)^X-Parts: (\\S+)");
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    private final List<ScriptedServer> engines = new CopyOnWriteArrayList<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger held = new AtomicInteger();
    private ForwardingFixture fixture;
    private final AtomicInteger requests = new AtomicInteger();

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardingFixture().withConfiguration();
        for (int i = 0; i < ENGINES; i++) {
            startEngine();
        }
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
        for (ScriptedServer engine : engines) {
            engine.close();
        }
    }

    @Test
    void crashesEndOnceThePartIsProved() throws Exception {
        for (int i = 0; i < 6; i++) {
            send("caller-" + i + ",deadly,own-" + i);
        }
        assertEquals(CRASHES_UNTIL_PROOF, crashes.get());
    }

    @Test
    void callerOfAProvedPartIsToldNotToRepeat() throws Exception {
        provePart();
        String response = send("caller,deadly,own");
        assertTrue(response.startsWith("HTTP/1.1 400"), response);
        assertTrue(response.contains("quarantined_part") && response.contains("do not repeat"), response);
        assertTrue(response.contains("\"execution\":\"not_run\""), response);
        assertEquals(CRASHES_UNTIL_PROOF, crashes.get());
    }

    @Test
    void soundRequestsWithTheOtherPartsAreServed() throws Exception {
        provePart();
        for (int i = 0; i < 3; i++) {
            assertServed(send("caller-" + i + ",own"));
        }
        assertServed(send("caller-0,deadly"));
    }

    @Test
    void requestsWithoutPartsAreServedBesideAProvedPart() throws Exception {
        provePart();
        assertServed(fixture.call("POST", "/resume/a", "plain"));
    }

    /** An ordinary crash takes the requests of the moment with it, which share their parts with those that follow. */
    @Test
    void ordinaryCrashesRejectNoSoundRequest() throws Exception {
        for (int i = 0; i < 2; i++) {
            engines.get(i).crash();
            assertServed(send("shared,own-" + i));
        }
        for (int i = 0; i < 5; i++) {
            assertServed(send("shared,other-" + i));
        }
    }

    /** A power cut took sound requests with a popular part from all servers, and the part was rejected for a minute. */
    @Test
    void crashOfAllServersRejectsNoSoundRequest() throws Exception {
        for (int i = 0; i < ENGINES; i++) {
            assertServed(send("shared,before-" + i));
        }
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < 3 * ENGINES; i++) {
            String parts = "shared,held-" + i;
            callers.add(new Thread(() -> sendIgnoringResponse(parts)));
        }
        callers.forEach(Thread::start);
        awaitHeldRequests(3 * ENGINES);
        for (ScriptedServer engine : engines) {
            engine.crash();
        }
        for (Thread caller : callers) {
            caller.join();
        }
        Thread.sleep(TIME_AFTER_POWER_CUT.toMillis());
        for (int i = 0; i < ENGINES; i++) {
            startEngine();
        }
        for (int i = 0; i < 5; i++) {
            assertServed(send("shared,after-" + i));
        }
    }

    /** A request that crashed its server was sent to the next one, and so was each repetition by its caller. */
    @Test
    void requestThatCrashesServersIsSentToTwoAtMost() throws Exception {
        for (int i = 0; i < 3; i++) {
            String response = send("shared,killer");
            assertFalse(response.startsWith("HTTP/1.1 4"), response);
        }
        assertEquals(2, crashes.get());
        for (int i = 0; i < 5; i++) {
            assertServed(send("shared,own-" + i));
        }
    }

    /** Requests that came together crashed a server each, and so did those of the next batches. */
    @Test
    void batchesOfRequestsCrashNoMoreServersThanSingleOnes() throws Exception {
        sendTogether("batch-1");
        int crashesOfFirstBatch = crashes.get();
        for (int i = 0; i < ENGINES; i++) {
            startEngine();
        }
        sendTogether("batch-2");
        sendTogether("batch-3");
        int later = crashes.get() - crashesOfFirstBatch;
        assertTrue(later < CRASHES_UNTIL_PROOF, later + " crashes after " + crashesOfFirstBatch);
    }

    /** Requests that wait for the answer to another one must be sent once it has come. */
    @Test
    void soundRequestsThatComeTogetherAfterSeveralCrashesAreServed() throws Exception {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < 2 * ENGINES; i++) {
            String parts = "shared,held-" + i;
            callers.add(new Thread(() -> sendIgnoringResponse(parts)));
        }
        callers.forEach(Thread::start);
        awaitHeldRequests(2 * ENGINES);
        for (ScriptedServer engine : engines) {
            engine.crash();
        }
        for (Thread caller : callers) {
            caller.join();
        }
        for (int i = 0; i < ENGINES; i++) {
            startEngine();
        }
        for (String response : sendTogether("shared", "after")) {
            assertServed(response);
        }
    }

    private void sendTogether(String name) throws Exception {
        List<String> unused = sendTogether("deadly", name);
    }

    /** Sends some requests at the same time and returns the responses; an empty one if the connection was closed. */
    private List<String> sendTogether(String part, String name) throws Exception {
        List<String> responses = new CopyOnWriteArrayList<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < BATCH_SIZE; i++) {
            String parts = part + "," + name + "-" + i;
            callers.add(new Thread(() -> {
                try {
                    responses.add(send(parts));
                } catch (IOException e) {
                    responses.add("");
                }
            }));
        }
        callers.forEach(Thread::start);
        for (Thread caller : callers) {
            caller.join();
        }
        return responses;
    }

    private void awaitHeldRequests(int count) throws InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (held.get() < count && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertEquals(count, held.get());
    }

    private void sendIgnoringResponse(String parts) {
        try {
            send(parts);
        } catch (IOException e) {
            // The connection of the caller may be closed instead of a response.
            return;
        }
    }

    private void provePart() throws Exception {
        for (int i = 0; i < 3; i++) {
            send("caller-" + i + ",deadly,own-" + i);
        }
        Thread.sleep(PartQuarantine.SETTLING_TIME.plusMillis(50).toMillis());
    }

    private String send(String parts) throws IOException {
        return fixture.call("POST", "/resume/a", "id-" + requests.incrementAndGet(), "X-Parts: " + parts + "\r\n");
    }

    private static void assertServed(String response) {
        assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("0\r\n\r\n"), response);
    }

    private void startEngine() throws Exception {
        List<ScriptedServer> self = new ArrayList<>();
        ScriptedServer engine =
                new ScriptedServer((head, output, socket) -> respond(self.get(0), head, output, socket));
        self.add(engine);
        engines.add(engine);
        fixture.registerServer(engine.address());
    }

    private void respond(ScriptedServer engine, String head, OutputStream output, Socket socket) throws Exception {
        Matcher id = ID.matcher(head);
        Matcher parts = PARTS.matcher(head);
        String prompt = parts.find() ? parts.group(1) : "";
        if (prompt.contains("held-")) {
            held.incrementAndGet();
            return;
        }
        if (prompt.contains("deadly,") || prompt.contains("killer")) {
            crashes.incrementAndGet();
            Thread.sleep(Duration.ofMillis(20).toMillis());
            engine.crash();
            socket.close();
            return;
        }
        output.write(ScriptedServer.ascii("HTTP/1.1 200 X\r\nX-Id: " + (id.find() ? id.group(1) : "")
                + "\r\nX-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(EVENTS.length()) + "\r\n" + EVENTS + "\r\n0\r\n\r\n"));
    }
}
