package org.coltsfootquay.decision.timeline;

/** Receiver of recorded decisions; must be safe to call from any thread and must not block. */
@FunctionalInterface
public interface TimelineSink {

    /** Sink that drops all events. */
    TimelineSink NONE = event -> {};

    /**
     * Records an event.
     *
     * @param event event, not null
     */
    void record(TimelineEvent event);
}
