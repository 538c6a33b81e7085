package org.coltsfootquay.cli.measure;

import java.util.Locale;

/** Sizes of a measurement. */
public enum MeasureSize {
    /** Today's size. */
    TODAY(8, 7, 16, 16, 6, 240),
    /** A part of the target size, with all its workspaces. */
    TARGET(64, 128, 16, 290, 29, 180);

    private final int routers;
    private final int engines;
    private final int slots;
    private final int workspaces;
    private final int backlogged;
    private final int seconds;

    MeasureSize(int routers, int engines, int slots, int workspaces, int backlogged, int seconds) {
        this.routers = routers;
        this.engines = engines;
        this.slots = slots;
        this.workspaces = workspaces;
        this.backlogged = backlogged;
        this.seconds = seconds;
    }

    /**
     * Returns the size with a label.
     *
     * @param label {@code today} or {@code target}
     * @return size
     * @throws IllegalArgumentException if no size has this label
     */
    public static MeasureSize ofLabel(String label) {
        for (MeasureSize size : values()) {
            if (size.label().equals(label)) {
                return size;
            }
        }
        throw new IllegalArgumentException("unknown size " + label + "; use today or target");
    }

    /**
     * Returns the name as it stands in commands and reports.
     *
     * @return lower-case name
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    int routers() {
        return routers;
    }

    int engines() {
        return engines;
    }

    /** Requests that an engine executes within the target of the time between tokens. */
    int slots() {
        return slots;
    }

    int workspaces() {
        return workspaces;
    }

    /** Workspaces that always have requests waiting. */
    int backlogged() {
        return backlogged;
    }

    /**
     * Returns the usual length of the measured part of a run.
     *
     * @return simulated seconds
     */
    public int seconds() {
        return seconds;
    }
}
