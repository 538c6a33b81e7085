package org.coltsfootquay.decision.notice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against pauses that a malformed time starts, lengthens without bound or cuts short. */
final class PauseParserTest {

    private final PauseParser parser = new PauseParser(Duration.ofMinutes(5));

    @Test
    void secondsMayHaveFractions() {
        assertEquals(Either.right(Duration.ofSeconds(2)), parser.parse("2"));
        assertEquals(Either.right(Duration.ofMillis(350)), parser.parse(" 0.350 "));
    }

    @Test
    void fractionOfAMillisecondIsRoundedUp() {
        assertEquals(Either.right(Duration.ofMillis(1)), parser.parse("0.0001"));
    }

    /** A server that prints a double asked for a pause of 0.7999999999999999 s, which was ignored. */
    @Test
    void allDigitsOfADoubleAreAccepted() {
        assertEquals(Either.right(Duration.ofMillis(800)), parser.parse("0.7999999999999999"));
        assertEquals(Either.right(Duration.ofMillis(301)), parser.parse("0.30000000000000004"));
    }

    @Test
    void zeroAsksForNoPause() {
        assertEquals(Either.right(Duration.ZERO), parser.parse("0"));
        assertEquals(Either.right(Duration.ZERO), parser.parse("0.0"));
    }

    @Test
    void longTimeIsReducedToTheMaximum() {
        assertEquals(Either.right(Duration.ofMinutes(5)), parser.parse("301"));
        assertEquals(Either.right(Duration.ofMinutes(5)), parser.parse("9".repeat(40)));
    }

    @Test
    void malformedTimeIsIgnored() {
        for (String text : List.of(
                "",
                "-1",
                "+1",
                "soon",
                "NaN",
                "Infinity",
                "1e9",
                "0x10",
                "1,5",
                "1.",
                ".5",
                "1 2",
                "9".repeat(41),
                "Sat, 05 Dec 2026 09:00:00 GMT")) {
            assertTrue(parser.parse(text).isLeft(), text);
        }
    }
}
