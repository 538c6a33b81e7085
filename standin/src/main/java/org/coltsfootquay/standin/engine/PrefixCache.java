package org.coltsfootquay.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.coltsfootquay.standin.http.JsonUtils;

/** Prefix cache of an engine with limited memory; evicts the least recently used block; used on one event loop. */
final class PrefixCache {

    private static final int MAX_EVENTS = 10_000;

    private record Event(long sequence, boolean stored, long prefixHash, long atNanos) {}

    private final int maxBlocks;
    private final int gapEvery;
    private final Set<Long> blocks = new LinkedHashSet<>();
    private final Deque<Event> events = new ArrayDeque<>();
    private long sequence;

    PrefixCache(int maxBlocks, int gapEvery) {
        this.maxBlocks = maxBlocks;
        this.gapEvery = gapEvery;
    }

    /** Returns the number of leading blocks that are cached and marks them as used. */
    int use(long[] hashes) {
        int cached = 0;
        while (cached < hashes.length && blocks.remove(hashes[cached])) {
            blocks.add(hashes[cached]);
            cached++;
        }
        return cached;
    }

    void store(long[] hashes, long nowNanos) {
        if (maxBlocks == 0) {
            return;
        }
        for (long hash : hashes) {
            if (!blocks.remove(hash)) {
                publish(true, hash, nowNanos);
            }
            blocks.add(hash);
            if (blocks.size() > maxBlocks) {
                Iterator<Long> oldest = blocks.iterator();
                long evicted = oldest.next();
                oldest.remove();
                publish(false, evicted, nowNanos);
            }
        }
    }

    /** Loses all blocks without any event, as an engine does that fails. */
    void clear() {
        blocks.clear();
    }

    int size() {
        return blocks.size();
    }

    ObjectNode events(long since, long untilNanos) {
        ObjectNode node = JsonUtils.object();
        ArrayNode list = node.putArray("events");
        long next = since;
        for (Event event : events) {
            if (event.sequence() <= since) {
                continue;
            }
            if (event.atNanos() - untilNanos > 0) {
                break;
            }
            list.addObject()
                    .put("sequence", event.sequence())
                    .put("type", event.stored() ? "stored" : "removed")
                    .put("prefixHash", String.format("%016x", event.prefixHash()));
            next = event.sequence();
        }
        return node.put("next", next);
    }

    private void publish(boolean stored, long hash, long nowNanos) {
        sequence++;
        if (gapEvery > 0 && sequence % gapEvery == 0) {
            return;
        }
        events.add(new Event(sequence, stored, hash, nowNanos));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }
}
