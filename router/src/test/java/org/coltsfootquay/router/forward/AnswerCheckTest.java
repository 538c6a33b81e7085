package org.coltsfootquay.router.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a soak that passes although callers got what no engine had answered. */
final class AnswerCheckTest {

    private final AnswerCheck check = new AnswerCheck();

    @BeforeEach
    void sendResponses() {
        check.sent("good", "a", 200, "body-a");
        check.sent("bad", "a", 500, "oops");
        check.sent("other", "b", 200, "body-b");
        check.sentAdditionally("second", "a", 200, "body-a");
    }

    @Test
    void wholeSuccessIsAccepted() {
        assertEquals(List.of(), violations("/once/", 200, "good", "body-a", true));
    }

    @Test
    void errorWithItsSealIsAccepted() {
        assertEquals(List.of(), violations("/once/", 500, "bad", "oops", true));
    }

    @Test
    void errorOfTheRouterIsAccepted() {
        assertEquals(List.of(), violations("/once/", 502, "", "bad gateway", true));
    }

    @Test
    void closedConnectionIsAccepted() {
        assertEquals(List.of(), violations("/once/", 0, "", "", false));
    }

    @Test
    void successInsteadOfAnErrorIsFound() {
        assertFound("MIXED", violations("/once/", 200, "bad", "oops", true));
    }

    @Test
    void errorInsteadOfASuccessIsFound() {
        assertFound("MIXED", violations("/once/", 500, "good", "body-a", true));
    }

    @Test
    void successWithoutASealIsFound() {
        assertFound("MIXED", violations("/once/", 200, "", "body-a", true));
    }

    @Test
    void sealThatNoEngineSentIsFound() {
        assertFound("MIXED", violations("/once/", 502, "goHTTP/1.1 500 X", "", true));
    }

    @Test
    void responseToAnotherRequestIsFound() {
        assertFound("MIXED", violations("/once/", 200, "other", "body-b", true));
    }

    @Test
    void idOfAnotherRequestIsFound() {
        assertFound(
                "MIXED",
                check.violations("/once/", "a", new KeptConnection.Response(200, "b", "good", "body-a", true)));
    }

    @Test
    void secondResponseIsFound() {
        assertFound("MIXED", violations("/once/", 200, "second", "body-a", true));
    }

    @Test
    void incompleteBodyThatLooksCompleteIsFound() {
        assertFound("MIXED", violations("/once/", 200, "good", "body", true));
    }

    @Test
    void bodyThatBreaksOffIsAccepted() {
        assertEquals(List.of(), violations("/once/", 200, "good", "body", false));
    }

    @Test
    void otherBytesBeforeTheEndAreFound() {
        assertFound("ORDER", violations("/once/", 200, "good", "bodyHTTP", false));
    }

    @Test
    void resumedStreamIsAccepted() {
        check.sent("stream", "a", 200, AnswerCheck.events("a", 1));
        assertEquals(List.of(), violations("/resume/", 200, "stream", AnswerCheck.events("a", 1), true));
    }

    @Test
    void streamWithoutAnEventIsFound() {
        check.sent("stream", "a", 200, AnswerCheck.events("a", 1));
        String gap = AnswerCheck.event("a", 1) + AnswerCheck.events("a", 3);
        assertFound("MIXED", violations("/resume/", 200, "stream", gap, true));
    }

    private List<String> violations(String path, int status, String seal, String body, boolean complete) {
        return check.violations(path, "a", new KeptConnection.Response(status, "a", seal, body, complete));
    }

    private static void assertFound(String rule, List<String> violations) {
        assertEquals(1, violations.size(), violations::toString);
        assertTrue(
                violations.get(0).startsWith(rule + ": /once/a got ")
                        || violations.get(0).startsWith(rule + ": /resume/a got "),
                violations::toString);
    }
}
