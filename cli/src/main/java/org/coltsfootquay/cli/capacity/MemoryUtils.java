package org.coltsfootquay.cli.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;

/** Memory in use after garbage collection. */
final class MemoryUtils {

    private static final int COLLECTIONS = 3;

    private MemoryUtils() {}

    static double usedBytes() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        for (int i = 0; i < COLLECTIONS; i++) {
            memory.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }
}
