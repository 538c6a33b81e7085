package org.coltsfootquay.decision.latency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.junit.jupiter.api.Test;

/** Guards against estimates that fit the engines of one site only, and against a model that stays wrong. */
final class EngineLatencyModelTest {

    private static final ServiceName SERVICE = new ServiceName("service");
    private static final ServerName ENGINE = new ServerName("engine");
    private static final ServerName OTHER = new ServerName("other");

    /** Long prompts, for which the speed of an engine matters most. */
    private static final int TYPICAL_TOKENS = 6_000;

    private final EngineLatencyModel model = new EngineLatencyModel();

    /** Engines of 20 to 200 tokens a millisecond, with 10% noise. */
    @Property(tries = 200)
    void estimateIsWithin15PercentAfter50Requests(
            @ForAll @DoubleRange(min = 20, max = 200) double tokensPerMilli,
            @ForAll @DoubleRange(min = 20, max = 100) double constantMillis,
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        EngineLatencyModel learned = new EngineLatencyModel();
        learned.assign(ENGINE, SERVICE);
        Random random = new Random(seed);
        observe(learned, ENGINE, tokensPerMilli, constantMillis, 50, random);
        double expected = constantMillis + TYPICAL_TOKENS / tokensPerMilli;
        assertEquals(expected, learned.expectedMillis(ENGINE, TYPICAL_TOKENS), 0.15 * expected);
    }

    /** An engine turns four times slower; at five observations a second the estimate follows within 3 s. */
    @Property(tries = 200)
    void estimateFollowsAChangeOfSpeedWithin3Seconds(
            @ForAll @DoubleRange(min = 20, max = 200) double tokensPerMilli,
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        EngineLatencyModel learned = new EngineLatencyModel();
        learned.assign(ENGINE, SERVICE);
        Random random = new Random(seed);
        observe(learned, ENGINE, tokensPerMilli, 50, 200, random);
        observe(learned, ENGINE, tokensPerMilli / 4, 200, 15, random);
        double expected = 200 + TYPICAL_TOKENS / (tokensPerMilli / 4);
        assertEquals(expected, learned.expectedMillis(ENGINE, TYPICAL_TOKENS), 0.15 * expected);
    }

    @Test
    void newEngineIsEstimatedLikeItsService() {
        model.assign(ENGINE, SERVICE);
        model.assign(OTHER, SERVICE);
        observe(model, ENGINE, 150, 30, 400, new Random(3));
        double expected = 30 + TYPICAL_TOKENS / 150.0;
        assertEquals(expected, model.expectedMillis(OTHER, TYPICAL_TOKENS), 0.2 * expected);
    }

    @Test
    void slowEngineDoesNotChangeTheEstimateOfTheOthers() {
        model.assign(ENGINE, SERVICE);
        model.assign(OTHER, SERVICE);
        Random random = new Random(3);
        for (int i = 0; i < 300; i++) {
            observe(model, ENGINE, 60, 50, 1, random);
            observe(model, OTHER, 60 / 1.3, 65, 1, random);
        }
        double expected = 50 + TYPICAL_TOKENS / 60.0;
        assertEquals(expected, model.expectedMillis(ENGINE, TYPICAL_TOKENS), 0.1 * expected);
        assertEquals(1.3 * expected, model.expectedMillis(OTHER, TYPICAL_TOKENS), 0.1 * 1.3 * expected);
    }

    /** Prompts of other routers that were not known yet delayed one response in ten; the estimate followed them. */
    @Test
    void rareLongDelaysBarelyCount() {
        model.assign(ENGINE, SERVICE);
        Random random = new Random(3);
        for (int i = 0; i < 300; i++) {
            observe(model, ENGINE, 60, 50, 9, random);
            model.record(new FirstEventObservation(ENGINE, 0, 500, Duration.ofMillis(900)));
        }
        double expected = 50 + TYPICAL_TOKENS / 60.0;
        assertEquals(expected, model.expectedMillis(ENGINE, TYPICAL_TOKENS), 0.25 * expected);
    }

    /**
     * Waits are overestimated because peers report late. The factor of the engine then fell while the line of the
     * service rose without bound, so that engines without requests seemed ten times slower than they were.
     */
    @Test
    void overestimatedWaitsDoNotSlowTheEstimateOfOtherEngines() {
        model.assign(ENGINE, SERVICE);
        model.assign(OTHER, SERVICE);
        Random random = new Random(3);
        observe(model, ENGINE, 60, 50, 100, random);
        observe(model, OTHER, 60, 50, 100, random);
        for (int i = 0; i < 2_000; i++) {
            observe(model, ENGINE, 60, 50, 1, random);
            Duration latency = Duration.ofMillis(50 + (8_000 + 2_000) / 60);
            model.record(new FirstEventObservation(ENGINE, 16_000, 2_000, latency));
        }
        double expected = 50 + TYPICAL_TOKENS / 60.0;
        assertEquals(expected, model.expectedMillis(OTHER, TYPICAL_TOKENS), 0.3 * expected);
    }

    /** An engine that seems slow gets no requests, so that no observation would ever correct its estimate. */
    @Test
    void engineWithoutObservationsIsSoonEstimatedLikeItsService() {
        model.assign(ENGINE, SERVICE);
        model.assign(OTHER, SERVICE);
        Random random = new Random(3);
        observe(model, OTHER, 60, 50, 100, random);
        observe(model, OTHER, 6, 500, 10, random);
        for (int second = 0; second < 6; second++) {
            observe(model, ENGINE, 60, 50, 50, random);
            model.forgetIdleEngines();
        }
        double expected = 50 + TYPICAL_TOKENS / 60.0;
        assertEquals(expected, model.expectedMillis(OTHER, TYPICAL_TOKENS), 0.3 * expected);
    }

    @Test
    void engineWithObservationsKeepsItsEstimate() {
        model.assign(ENGINE, SERVICE);
        model.assign(OTHER, SERVICE);
        Random random = new Random(3);
        for (int second = 0; second < 20; second++) {
            observe(model, ENGINE, 60, 50, 10, random);
            observe(model, OTHER, 30, 100, 10, random);
            model.forgetIdleEngines();
        }
        double expected = 100 + TYPICAL_TOKENS / 30.0;
        assertEquals(expected, model.expectedMillis(OTHER, TYPICAL_TOKENS), 0.15 * expected);
    }

    @Test
    void restartedEngineHasTheEstimateOfItsService() {
        model.assign(ENGINE, SERVICE);
        model.assign(OTHER, SERVICE);
        observe(model, OTHER, 10, 50, 50, new Random(3));
        observe(model, ENGINE, 60, 50, 200, new Random(3));
        model.removeServer(OTHER);
        model.assign(OTHER, SERVICE);
        assertTrue(model.expectedMillis(OTHER, TYPICAL_TOKENS) < 2 * model.expectedMillis(ENGINE, TYPICAL_TOKENS));
    }

    @Test
    void runTimeFollowsTheResponses() {
        model.assign(ENGINE, SERVICE);
        for (int i = 0; i < 100; i++) {
            model.recordRunTime(ENGINE, Duration.ofMillis(800));
        }
        assertEquals(800, model.runMillis(ENGINE), 20);
    }

    private static void observe(
            EngineLatencyModel model,
            ServerName engine,
            double tokensPerMilli,
            double constantMillis,
            int count,
            Random random) {
        for (int i = 0; i < count; i++) {
            int tokens = 200 + random.nextInt(12_000);
            double noise = 1 + 0.2 * (random.nextDouble() - 0.5);
            long nanos = (long) ((constantMillis + tokens / tokensPerMilli) * noise * 1e6);
            model.record(new FirstEventObservation(engine, 0, tokens, Duration.ofNanos(nanos)));
        }
    }
}
