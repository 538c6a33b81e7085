package org.coltsfootquay.router.timeline;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.timeline.TimelineEvent;
import org.coltsfootquay.decision.timeline.TimelineSink;

/**
 * Lock-free ring buffer of the newest events of a process; thread-safe.
 *
 * <p>When the buffer is full, a new event overwrites the oldest. A gap in the sequence numbers shows a reader that
 * events are missing.
 */
public final class TimelineBuffer implements TimelineSink {

    private final String process;
    private final LongSupplier epochMicros;
    private final Consumer<TimelineEntry> listener;
    private final AtomicReferenceArray<TimelineEntry> entries;
    private final AtomicLong nextSequence = new AtomicLong();

    /**
     * Creates an empty buffer.
     *
     * @param process identifier of the process
     * @param capacity maximum number of retained events, greater than zero
     * @param epochMicros clock in microseconds since the epoch
     * @param listener called with each entry on the recording thread, for example to write the log; must not block
     */
    public TimelineBuffer(String process, int capacity, LongSupplier epochMicros, Consumer<TimelineEntry> listener) {
        this.process = ArgumentUtils.requireText(process, "process");
        this.entries = new AtomicReferenceArray<>((int) ArgumentUtils.requirePositive(capacity, "capacity"));
        this.epochMicros = ArgumentUtils.requireValue(epochMicros, "epochMicros");
        this.listener = ArgumentUtils.requireValue(listener, "listener");
    }

    @Override
    public void record(TimelineEvent event) {
        long sequence = nextSequence.getAndIncrement();
        TimelineEntry entry = new TimelineEntry(process, sequence, epochMicros.getAsLong(), event);
        entries.set((int) (sequence % entries.length()), entry);
        listener.accept(entry);
    }

    /**
     * Returns the retained events from a sequence number on.
     *
     * @param fromSequence smallest sequence number to return
     * @param limit maximum number of events to return
     * @return events in order of their sequence numbers
     */
    public List<TimelineEntry> read(long fromSequence, int limit) {
        long end = nextSequence.get();
        long start = Math.max(fromSequence, end - entries.length());
        List<TimelineEntry> result = new ArrayList<>();
        for (long sequence = Math.max(0, start); sequence < end && result.size() < limit; sequence++) {
            TimelineEntry entry = entries.get((int) (sequence % entries.length()));
            if (entry != null && entry.sequence() == sequence) {
                result.add(entry);
            }
        }
        return result;
    }
}
