package org.coltsfootquay.decision.dispatch;

import java.util.OptionalInt;

/**
 * Load that a backend server reports, with a lag.
 *
 * @param running requests it executes
 * @param waiting requests it holds back
 * @param cold whether it says that it is in a cold start
 * @param acceptableRequests requests that it says it can bear now, if it says so
 * @param uptimeMillis time since its process started
 * @param ageMillis age of the figures
 */
public record LoadReport(
        int running, int waiting, boolean cold, OptionalInt acceptableRequests, long uptimeMillis, long ageMillis) {}
