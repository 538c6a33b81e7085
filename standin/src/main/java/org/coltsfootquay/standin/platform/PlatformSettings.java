package org.coltsfootquay.standin.platform;

import org.coltsfootquay.standin.settings.RangeCheck;

/**
 * Settings of the platform's stand-in.
 *
 * @param vmListLagMillis lag of the VM list in milliseconds
 * @param writesPerSecond writing calls a second before the platform throttles; 0 for no limit
 * @param readsPerSecond reading calls a second before the platform throttles; 0 for no limit
 */
public record PlatformSettings(long vmListLagMillis, int writesPerSecond, int readsPerSecond) {

    private static final int MAX_RATE = 1_000_000;

    /** Checks the ranges. */
    public PlatformSettings {
        new RangeCheck()
                .range("vmListLagMillis", vmListLagMillis, 0, 3_600_000)
                .range("writesPerSecond", writesPerSecond, 0, MAX_RATE)
                .range("readsPerSecond", readsPerSecond, 0, MAX_RATE)
                .throwIfAny();
    }

    /**
     * Returns settings without a lag and without limits.
     *
     * @return defaults
     */
    public static PlatformSettings defaults() {
        return new PlatformSettings(0, 0, 0);
    }
}
