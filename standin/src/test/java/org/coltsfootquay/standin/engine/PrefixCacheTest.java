package org.coltsfootquay.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a cache without limits and against cache events that are more reliable than real ones. */
final class PrefixCacheTest {

    @Test
    void leastRecentlyUsedBlockIsEvicted() {
        PrefixCache cache = new PrefixCache(2, 0);
        cache.store(new long[] {1, 2}, 0);
        cache.use(new long[] {1});
        cache.store(new long[] {3}, 0);

        assertEquals(1, cache.use(new long[] {1}));
        assertEquals(0, cache.use(new long[] {2}));
        assertEquals(2, cache.size());
    }

    @Test
    void eventsAreLateAndHaveGaps() {
        PrefixCache cache = new PrefixCache(100, 3);
        cache.store(new long[] {1, 2, 3, 4}, 10);

        assertEquals(List.of(), sequences(cache.events(0, 9)));
        assertEquals(List.of(1, 2, 4), sequences(cache.events(0, 10)));
        assertEquals(List.of(4), sequences(cache.events(2, 10)));
        assertEquals(4, cache.events(2, 10).path("next").asInt());
    }

    private static List<Integer> sequences(JsonNode events) {
        List<Integer> sequences = new ArrayList<>();
        events.path("events")
                .forEach(event -> sequences.add(event.path("sequence").asInt()));
        return sequences;
    }
}
