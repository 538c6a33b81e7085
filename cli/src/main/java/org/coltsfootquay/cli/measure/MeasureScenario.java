package org.coltsfootquay.cli.measure;

import java.util.Locale;

/** Scenarios of a measurement. */
public enum MeasureScenario {
    /** Workspaces with very different numbers of callers, spread unevenly over the entry routers. */
    UNEVEN,
    /** One workspace sends many times what the fleet can execute. */
    FLOOD,
    /** A workspace with reserved capacity returns to a fully used fleet. */
    PRIORITY_RETURNS,
    /** An engine restarts cold in a fully used fleet. */
    COLD_START,
    /** A zone leaves and returns. */
    ZONE_LEAVES,
    /** The store and with it the totals are lost, and every owner continues with half of its share. */
    STORE_DOWN,
    /** All of the above at the same time. */
    MIXED;

    /**
     * Returns the scenario with a label.
     *
     * @param label label, for example {@code zone-leaves}
     * @return scenario
     * @throws IllegalArgumentException if no scenario has this label
     */
    public static MeasureScenario ofLabel(String label) {
        for (MeasureScenario scenario : values()) {
            if (scenario.label().equals(label)) {
                return scenario;
            }
        }
        throw new IllegalArgumentException("unknown scenario " + label
                + "; use uneven, flood, priority-returns, cold-start, zone-leaves, store-down or mixed");
    }

    /**
     * Returns the name as it stands in commands and reports.
     *
     * @return lower-case name with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
