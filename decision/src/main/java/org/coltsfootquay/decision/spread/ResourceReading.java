package org.coltsfootquay.decision.spread;

/**
 * Shares of a router's resources that are in use at a time, 0 to 1.
 *
 * @param processor processor time of the event loop, as a share of what the platform grants; 0 if unknown
 * @param eventLoop delay of the event loop, as a share of the delay at which the router turns all callers away
 * @param descriptors open connections of callers, as a share of their limit; 0 without a limit
 * @param memory bytes held for messages, as a share of the fuller budget
 */
public record ResourceReading(double processor, double eventLoop, double descriptors, double memory) {

    /** Reduces the shares to their bounds. */
    public ResourceReading {
        processor = bounded(processor);
        eventLoop = bounded(eventLoop);
        descriptors = bounded(descriptors);
        memory = bounded(memory);
    }

    private static double bounded(double share) {
        return share > 0 ? Math.min(1, share) : 0;
    }

    /**
     * Returns the share by which callers are turned away.
     *
     * <p>A busy processor alone delays no request; one that is used up delays the event loop.
     *
     * @return largest share other than the processor's
     */
    public double pressure() {
        return Math.max(eventLoop, Math.max(descriptors, memory));
    }
}
