/** Simulated fleet of real controllers over an in-memory store, with fault injection, for tests and soak runs. */
package org.coltsfootquay.decision.simulation;
