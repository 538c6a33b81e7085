/** Estimates of how long model engines take until the first event of a response. */
package org.coltsfootquay.decision.latency;
