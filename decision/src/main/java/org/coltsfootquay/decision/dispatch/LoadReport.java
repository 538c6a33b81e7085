package org.coltsfootquay.decision.dispatch;

import java.util.OptionalInt;

/**
 * Load that a backend server reports, with some delay.
 *
 * @param running number of requests that it is executing
 * @param waiting number of requests that it has queued
 * @param cold whether it reports a cold start
 * @param acceptableRequests number of concurrent requests that it can currently handle, if reported
 * @param uptimeMillis time since its process started, in milliseconds
 * @param ageMillis age of the measurements, in milliseconds
 */
public record LoadReport(
        int running, int waiting, boolean cold, OptionalInt acceptableRequests, long uptimeMillis, long ageMillis) {}
