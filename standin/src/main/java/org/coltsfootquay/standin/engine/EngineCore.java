package org.coltsfootquay.standin.engine;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coltsfootquay.standin.backend.ColdStart;
import org.coltsfootquay.standin.backend.LoadHistory;
import org.coltsfootquay.standin.fault.Counters;
import org.coltsfootquay.standin.fault.FaultSwitches;
import org.coltsfootquay.standin.fault.Outage;

/** Continuous batching of an engine stand-in; used on one event loop. */
final class EngineCore {

    private static final double COLLAPSE_SLOWDOWN = 4;

    private final EngineSettings settings;
    private final EngineTiming timing;
    private final EventLoop loop;
    private final FaultSwitches faults;
    private final Counters counters;
    private final ColdStart coldStart;
    private final LoadHistory load;
    private final PrefixCache cache;
    private final Map<String, EngineStream> held = new LinkedHashMap<>();
    private final Set<EngineStream> decoding = new LinkedHashSet<>();
    private int inFlight;
    private boolean stepScheduled;
    private long stepDueNanos;
    private long prefillFreeNanos;
    private long collapsedUntilNanos;
    private int incarnation;

    EngineCore(EngineSettings settings, EventLoop loop, FaultSwitches faults, Counters counters) {
        this.settings = settings;
        this.timing = new EngineTiming(settings);
        this.loop = loop;
        this.faults = faults;
        this.counters = counters;
        this.coldStart = new ColdStart(settings.coldMillis(), settings.coldBearable(), settings.coldGrowth(), counters);
        this.load = new LoadHistory(coldStart);
        this.cache = new PrefixCache(settings.cacheBlocks(), settings.cacheEventGapEvery());
    }

    /** What became of a request that arrived. */
    enum Admission {
        ADMITTED,
        COLD,
        FAILED,
        DUPLICATE
    }

    LoadHistory load() {
        return load;
    }

    PrefixCache cache() {
        return cache;
    }

    int inFlight() {
        return inFlight;
    }

    Optional<EngineStream> stream(String requestId) {
        return Optional.ofNullable(held.get(requestId));
    }

    /** Starts the engine, or restarts it with no memory. */
    void restart() {
        stop();
        long now = System.nanoTime();
        prefillFreeNanos = now;
        collapsedUntilNanos = now;
        load.restart(now);
        coldStart.begin(now);
    }

    /** Breaks all streams and forgets everything. */
    void stop() {
        incarnation++;
        for (EngineStream stream : new ArrayList<>(held.values())) {
            stream.abortCaller();
        }
        held.clear();
        cache.clear();
        decoding.clear();
        inFlight = 0;
        stepScheduled = false;
        counters.set("running", 0);
    }

    /** Makes the engine cold; requests in flight go on, slowly. */
    void turnCold() {
        cache.clear();
        coldStart.begin(System.nanoTime());
    }

    /** Admits a request unless the engine is cold or falls over. */
    Admission admit(EngineStream stream) {
        long now = System.nanoTime();
        counters.increment("requests");
        if (held.containsKey(stream.requestId())) {
            counters.increment("duplicates");
            return Admission.DUPLICATE;
        }
        if (!coldStart.bears(inFlight + 1, now)) {
            if (!settings.coldFails()) {
                counters.increment("coldRefused");
                return Admission.COLD;
            }
            failAll("cold");
            return Admission.FAILED;
        }
        if (inFlight + 1 >= settings.collapseAt()) {
            collapse(now);
            return Admission.FAILED;
        }
        held.put(stream.requestId(), stream);
        inFlight++;
        counters.raise("peakInFlight", inFlight);
        counters.set("running", inFlight);
        startPrefill(stream, now);
        noteLoad(now);
        return Admission.ADMITTED;
    }

    /** Notes that the connection of a stream's caller ended; the stream is held for a resume for a while. */
    void callerLeft(EngineStream stream) {
        stream.detach();
        if (!stream.done()) {
            schedule(
                    () -> {
                        if (!stream.done() && !stream.hasCaller()) {
                            counters.increment("abandoned");
                            end(stream);
                            held.remove(stream.requestId());
                        }
                    },
                    settings.holdMillis() * 1_000_000);
        }
    }

    void cancel(EngineStream stream) {
        held.remove(stream.requestId());
        if (!stream.done()) {
            counters.increment("cancelled");
            stream.fail(410, "cancelled", "the request was cancelled by its sender");
            end(stream);
        }
    }

    private void startPrefill(EngineStream stream, long now) {
        long[] hashes = stream.prefixHashes();
        int cachedTokens = cache.use(hashes) * PromptUtils.tokens(PrefixHashUtils.BLOCK_BYTES);
        counters.add("promptTokens", stream.promptTokens());
        counters.add("cachedTokens", cachedTokens);
        double slowdown = slowdown(now);
        long prefillNanos = (long)
                (timing.prefillMillis(stream.promptTokens() + stream.firstPosition(), cachedTokens) * 1e6 * slowdown);
        long startNanos = prefillFreeNanos - now > 0 ? prefillFreeNanos : now;
        prefillFreeNanos = startNanos + prefillNanos;
        long constantNanos = (long) (settings.firstTokenMillis() * 1e6 * slowdown);
        schedule(() -> startDecoding(stream), prefillFreeNanos - now + constantNanos);
    }

    private void startDecoding(EngineStream stream) {
        if (stream.done()) {
            return;
        }
        cache.store(stream.prefixHashes(), System.nanoTime());
        decoding.add(stream);
        noteLoad(System.nanoTime());
        produceUnlessOut(List.of(stream));
        scheduleStep();
    }

    private void scheduleStep() {
        if (stepScheduled || decoding.isEmpty()) {
            return;
        }
        stepScheduled = true;
        long now = System.nanoTime();
        long interval = intervalNanos(now);
        // Counted from when the last step was due, so that late timers do not add up.
        long late = now - stepDueNanos;
        long delay = late >= 0 && late < interval ? interval - late : interval;
        stepDueNanos = now + delay;
        schedule(this::step, delay);
    }

    private void step() {
        stepScheduled = false;
        produceUnlessOut(new ArrayList<>(decoding));
        scheduleStep();
    }

    /** Produces one token of each stream; during an outage streams stall or lose their connection. */
    private void produceUnlessOut(List<EngineStream> streams) {
        Outage outage = faults.current().outage();
        for (EngineStream stream : streams) {
            if (outage == Outage.BROKEN && stream.hasCaller()) {
                stream.abortCaller();
                callerLeft(stream);
            } else if (outage != Outage.SILENT && !stream.done()) {
                produce(stream);
            }
        }
    }

    private void produce(EngineStream stream) {
        if (!stream.complete()) {
            stream.produce();
            counters.increment("outputTokens");
        }
        if (stream.complete()) {
            finish(stream);
            return;
        }
        int cut = faults.current().cutStreamsAfterTokens();
        if (cut > 0 && stream.hasCaller() && stream.sentOnConnection() >= cut) {
            counters.increment("streamsCut");
            stream.abortCaller();
            callerLeft(stream);
        }
    }

    private void finish(EngineStream stream) {
        boolean answerLost = stream.hasCaller() && faults.losesAnswer();
        if (answerLost) {
            counters.increment("answersLost");
            stream.abortCaller();
        }
        stream.finish();
        counters.increment("completed");
        coldStart.completed();
        end(stream);
        schedule(() -> held.remove(stream.requestId(), stream), settings.holdMillis() * 1_000_000);
    }

    /** Frees what a stream uses. */
    private void end(EngineStream stream) {
        if (!stream.done()) {
            stream.fail(500, "ended", "the engine gave the request up");
        }
        inFlight--;
        decoding.remove(stream);
        counters.set("running", inFlight);
        noteLoad(System.nanoTime());
    }

    private void collapse(long now) {
        counters.increment("collapses");
        collapsedUntilNanos = now + settings.collapseMillis() * 1_000_000;
        cache.clear();
        List<EngineStream> running = running();
        fail(running.subList(running.size() / 2, running.size()), "overloaded");
    }

    private void failAll(String code) {
        fail(running(), code);
    }

    private void fail(List<EngineStream> streams, String code) {
        for (EngineStream stream : streams) {
            counters.increment("failed");
            stream.fail(500, code, "the engine ran out of memory; send it fewer requests");
            held.remove(stream.requestId());
            end(stream);
        }
    }

    private List<EngineStream> running() {
        List<EngineStream> running = new ArrayList<>(held.values());
        running.removeIf(EngineStream::done);
        return running;
    }

    private long intervalNanos(long now) {
        return (long) (timing.tokenIntervalMillis(decoding.size()) * 1e6 * slowdown(now));
    }

    private double slowdown(long now) {
        double slowdown = coldStart.cold(now) ? settings.coldSlowdown() : 1;
        slowdown *= faults.current().slowFactor();
        return collapsedUntilNanos - now > 0 ? slowdown * COLLAPSE_SLOWDOWN : slowdown;
    }

    private void noteLoad(long now) {
        load.note(now, inFlight, inFlight - decoding.size());
    }

    private void schedule(Runnable task, long delayNanos) {
        int scheduledIn = incarnation;
        var unused = loop.schedule(
                () -> {
                    if (incarnation == scheduledIn) {
                        task.run();
                    }
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }
}
