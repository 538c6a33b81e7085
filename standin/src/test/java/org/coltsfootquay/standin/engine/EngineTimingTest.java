package org.coltsfootquay.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against an engine model without a knee, in which a concurrency limit has nothing to find. */
final class EngineTimingTest {

    private final EngineSettings settings = EngineSettings.defaults();
    private final EngineTiming timing = new EngineTiming(settings);

    @Test
    void intervalIsConstantUpToTheKneeAndGrowsBeyond() {
        double knee = timing.tokenIntervalMillis(settings.knee());

        assertEquals(settings.tokenIntervalMillis(), timing.tokenIntervalMillis(1));
        assertEquals(settings.tokenIntervalMillis(), knee);
        assertTrue(timing.tokenIntervalMillis(settings.knee() + 5) > knee);
        assertTrue(timing.tokenIntervalMillis(settings.capacity() * 2) > 4 * knee);
    }

    @Test
    void throughputFallsFarAboveCapacity() {
        double atCapacity = settings.capacity() / timing.tokenIntervalMillis(settings.capacity());
        double overloaded = 2 * settings.capacity() / timing.tokenIntervalMillis(2 * settings.capacity());

        assertTrue(overloaded < atCapacity, overloaded + " tokens/ms instead of " + atCapacity);
    }

    @Test
    void prefillGrowsWithThePromptAndIsShorterForACachedPrefix() {
        assertTrue(timing.prefillMillis(8_000, 0) > 7 * timing.prefillMillis(1_000, 0));
        assertEquals(timing.prefillMillis(1_000, 0), timing.prefillMillis(8_000, 7_000), 1e-9);
    }
}
