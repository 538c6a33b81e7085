package org.coltsfootquay.decision.dispatch;

import org.coltsfootquay.decision.common.ServerName;

/**
 * Current state of an owned server, for metrics and runtime checks.
 *
 * @param server server
 * @param inFlight number of requests that hold a slot
 * @param capacity number of requests that this owner may have in flight: limit times share
 * @param ramping whether the limit is being ramped up after a cold start
 * @param admitsWork whether new work is allowed
 */
public record ServerState(ServerName server, int inFlight, int capacity, boolean ramping, boolean admitsWork) {}
