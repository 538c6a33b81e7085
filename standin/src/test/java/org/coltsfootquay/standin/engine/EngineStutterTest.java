package org.coltsfootquay.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import org.coltsfootquay.settings.SettingsException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a stuttering engine that sends no second answers, or always the same ones. */
final class EngineStutterTest {

    private static final String COMPLETION =
            "{\"max_tokens\":2,\"stream\":$stream,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    private static final String NO_MESSAGES = "{\"messages\":[]}";
    private static final String WHOLE_ERROR =
            "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\nContent-Length: 24\r\n\r\n"
                    + "{\"code\":\"second_answer\"}";
    private static final int CALLS = 30;
    private static final int CONNECT_READ_TIMEOUT_MILLIS = 10_000;
    private static final int QUIET_MILLIS = 100;

    private EngineStandIn engine;

    @BeforeEach
    void start() {
        engine = new EngineStandIn(EngineSettings.fast()).start();
    }

    @AfterEach
    void stop() {
        engine.close();
    }

    @Test
    void secondAnswerIsSentWholeAndCutInHeadAndBody() throws Exception {
        engine.faults().turn(faults -> faults.withStutter(1));
        int headLength = WHOLE_ERROR.indexOf("\r\n\r\n") + 4;
        Set<String> kinds = new HashSet<>();
        for (int i = 0; i < CALLS; i++) {
            String second = bytesAfterAnswer(COMPLETION.replace("$stream", "false"));
            assertTrue(!second.isEmpty() && WHOLE_ERROR.startsWith(second), second);
            kinds.add(
                    second.length() < headLength ? "head" : second.length() < WHOLE_ERROR.length() ? "body" : "whole");
        }
        assertEquals(Set.of("head", "body", "whole"), kinds);
        assertEquals(CALLS, engine.counters().value("secondAnswers"));
    }

    @Test
    void successFollowsAnError() throws Exception {
        engine.faults().turn(faults -> faults.withStutter(1));
        String second = "";
        for (int i = 0; i < CALLS; i++) {
            String bytes = bytesAfterAnswer(NO_MESSAGES);
            second = bytes.length() > second.length() ? bytes : second;
        }
        assertTrue(second.startsWith("HTTP/1.1 200 OK\r\n"), second);
    }

    @Test
    void secondAnswerFollowsAStream() throws Exception {
        engine.faults().turn(faults -> faults.withStutter(1));
        String second = bytesAfterAnswer(COMPLETION.replace("$stream", "true"));
        assertTrue(!second.isEmpty() && WHOLE_ERROR.startsWith(second), second);
    }

    @Test
    void onlyAFractionOfTheAnswersIsFollowed() throws Exception {
        engine.faults().turn("{\"stutter\": 0.5}");
        for (int i = 0; i < CALLS; i++) {
            bytesAfterAnswer(NO_MESSAGES);
        }
        long followed = engine.counters().value("secondAnswers");
        assertTrue(followed > 0 && followed < CALLS, "followed: " + followed);
    }

    @Test
    void noSecondAnswerFollowsWithoutTheFault() throws Exception {
        assertEquals("", bytesAfterAnswer(NO_MESSAGES));
    }

    @Test
    void fractionAboveOneIsRefused() {
        SettingsException report = Assertions.assertThrows(
                SettingsException.class, () -> engine.faults().turn("{\"stutter\": 1.5}"));
        assertFalse(report.problems().isEmpty());
    }

    /** Sends a request on a connection of its own and returns what comes after the answer. */
    private String bytesAfterAnswer(String body) throws IOException {
        String address = engine.address();
        int colon = address.indexOf(':');
        try (Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            socket.setSoTimeout(CONNECT_READ_TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write(("POST /v1/chat/completions HTTP/1.1\r\nHost: engine\r\nContent-Length: " + body.length()
                                    + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream input = socket.getInputStream();
            String head = readTo(input, "\r\n\r\n");
            int lengthAt = head.indexOf("content-length: ") + "content-length: ".length();
            if (head.contains("transfer-encoding: chunked")) {
                readTo(input, "\r\n0\r\n\r\n");
            } else {
                input.readNBytes(Integer.parseInt(head.substring(lengthAt, head.indexOf("\r\n", lengthAt))));
            }
            socket.setSoTimeout(QUIET_MILLIS);
            return readUntilQuiet(input);
        }
    }

    private static String readTo(InputStream input, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < end.length()
                || !text.substring(text.length() - end.length()).equals(end)) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("the connection ended after: " + text);
            }
            text.append((char) next);
        }
        return text.toString();
    }

    private static String readUntilQuiet(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            for (int next = input.read(); next >= 0; next = input.read()) {
                bytes.write(next);
            }
        } catch (SocketTimeoutException e) {
            return bytes.toString(StandardCharsets.US_ASCII);
        }
        return bytes.toString(StandardCharsets.US_ASCII);
    }
}
