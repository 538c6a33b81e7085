package org.coltsfootquay.standin.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against second answers that are always cut at the same places or repeat the first status. */
final class SecondAnswerTest {

    private static final int DRAWS = 5_000;

    @Test
    void everyCutIsDrawn() {
        Random random = new Random(1);
        Set<Integer> lengths = new HashSet<>();
        int longest = 0;
        for (int i = 0; i < DRAWS; i++) {
            int length = SecondAnswer.draw(random, 200).length;
            lengths.add(length);
            longest = Math.max(longest, length);
        }
        assertEquals(longest, lengths.size());
    }

    @Test
    void errorFollowsASuccess() {
        assertTrue(longest(200).startsWith("HTTP/1.1 500 "));
    }

    @Test
    void successFollowsAnError() {
        assertTrue(longest(500).startsWith("HTTP/1.1 200 "));
    }

    private static String longest(int status) {
        Random random = new Random(1);
        String longest = "";
        for (int i = 0; i < DRAWS; i++) {
            String text = new String(SecondAnswer.draw(random, status), StandardCharsets.US_ASCII);
            longest = text.length() > longest.length() ? text : longest;
        }
        return longest;
    }
}
