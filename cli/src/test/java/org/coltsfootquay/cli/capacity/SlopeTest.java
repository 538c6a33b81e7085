package org.coltsfootquay.cli.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a wrong fit, which would make every figure of the capacity page wrong. */
final class SlopeTest {

    @Test
    void lineThroughExactPointsIsFound() {
        Slope slope = new Slope(
                "x",
                "n",
                "u",
                List.of(new Slope.Point(1, 5), new Slope.Point(2, 7), new Slope.Point(4, 11), new Slope.Point(8, 19)),
                100);
        assertEquals(2, slope.slope(), 1e-9);
        assertEquals(3, slope.intercept(), 1e-9);
        assertEquals(203, slope.atTarget(), 1e-9);
    }
}
