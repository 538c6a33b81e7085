package org.coltsfootquay.cli.quickstart;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;

/** Processor time of the threads whose names end with a suffix. */
final class CpuMeter {

    private static final double NANOS_PER_SECOND = 1e9;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final String suffix;

    CpuMeter(String suffix) {
        this.suffix = suffix;
    }

    /** Returns the processor seconds used so far by all living threads with the suffix. */
    double seconds() {
        double sum = 0;
        for (long id : threads.getAllThreadIds()) {
            ThreadInfo info = threads.getThreadInfo(id);
            if (info != null && info.getThreadName().endsWith(suffix)) {
                sum += Math.max(0, threads.getThreadCpuTime(id)) / NANOS_PER_SECOND;
            }
        }
        return sum;
    }
}
