package org.coltsfootquay.router.timeline;

import org.coltsfootquay.decision.timeline.TimelineEvent;

/**
 * Event with its position on the timeline of one process.
 *
 * @param process identifier of the process, for example the router id
 * @param sequence number that increases by one with each event of the process
 * @param epochMicros time by the clock of the process, in microseconds since the epoch
 * @param event recorded event
 */
public record TimelineEntry(String process, long sequence, long epochMicros, TimelineEvent event) {}
