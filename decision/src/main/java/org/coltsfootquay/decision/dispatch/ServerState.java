package org.coltsfootquay.decision.dispatch;

import org.coltsfootquay.decision.common.ServerName;

/**
 * Present state of an owned server, for metrics and run-time checks.
 *
 * @param server server
 * @param inFlight requests that hold a slot
 * @param capacity requests this owner may have in flight: limit times share
 * @param ramping whether the ramp of a cold start is active
 * @param admitting whether new work is allowed
 */
public record ServerState(ServerName server, int inFlight, int capacity, boolean ramping, boolean admitting) {}
